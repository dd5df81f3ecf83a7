/** Keys of the fleet's rows in the store. */
export const fleetKeys = {
	duty: 'duty',
	rateAllocatorPrefix: 'rate-home/',
	groupPrefix: 'group/',
	hostPrefix: 'host/',
} as const;
