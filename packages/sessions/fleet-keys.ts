/** Keys and key prefixes of the rows of the `fleet` table in the store. Hosts of all versions share the rows, so the values must not change. */
export const fleetKeys = {
	failoverLock: 'duty',
	rateAllocatorPrefix: 'rate-home/',
	groupPrefix: 'group/',
	hostPrefix: 'host/',
} as const;
