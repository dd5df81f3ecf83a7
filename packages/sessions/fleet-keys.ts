/** Keys of the fleet's rows in the store. */
export const fleetKeys = {
	failoverLock: 'duty',
	rateHomePrefix: 'rate-home/',
	groupPrefix: 'group/',
	hostPrefix: 'host/',
} as const;
