import type {FleetRows} from './fleet-rows.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {Versioned} from './versioned.ts';

/**
 * Finds the lease of a partition's rate allocator; undefined if nobody holds it.
 *
 * A lease from an earlier era of the store counts for nothing, since another host may have held it in the lost seconds.
 */
export function findRateAllocator(fleet: Pick<FleetRows, 'rateAllocators'> | undefined, partition: number): Versioned<RateAllocatorRow> | undefined {
	const row = fleet?.rateAllocators.get(partition);
	return row === undefined || isFromEarlierEra(row) ? undefined : row;
}
