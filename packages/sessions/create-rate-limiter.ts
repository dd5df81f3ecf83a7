import {createPartitionLimiter} from './create-partition-limiter.ts';
import {findRatePartition} from './find-rate-partition.ts';
import {ratePartitionCount} from './rate-partition-count.ts';
import type {RateLimiter} from './rate-limiter.ts';

/** Creates the rate limiter of a host: one limiter per partition of the workspaces, so that no single host allocates all rates. */
export function createRateLimiter(options: Omit<Parameters<typeof createPartitionLimiter>[0], 'partition'>): RateLimiter {
	const limiters = Array.from({length: ratePartitionCount}, (_, partition) => createPartitionLimiter({...options, partition}));
	return {
		takeOperation: async (workspace, maxWaitMs) => limiters[findRatePartition(workspace)]!.takeOperation(workspace, maxWaitMs),
		takePermit: async (key, maxWaitMs) => limiters[findRatePartition(key)]!.takePermit(key, maxWaitMs),
		claimRates: async claims => limiters[claims.partition]?.claimRates(claims) ?? 'notAllocator',
		// Every host sends claims to the rate allocator of partition 0 as a heartbeat.
		listSilentHosts: () => limiters[0]!.listSilentHosts(),
		updateFleet(fleet) {
			for (const limiter of limiters) {
				limiter.updateFleet(fleet);
			}
		},
		step() {
			for (const limiter of limiters) {
				limiter.step();
			}
		},
	};
}
