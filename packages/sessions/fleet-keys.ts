/** Keys and key prefixes of the rows of the `fleet` table in the store. */
export const fleetKeys = {
	failoverLock: 'duty',
	rateAllocatorPrefix: 'rate-home/',
	groupPrefix: 'group/',
	hostPrefix: 'host/',
} as const;
