import type {AllowedRegions} from './allowed-regions.ts';
import {isZoneAllowed} from './is-zone-allowed.ts';
import type {RegionMap} from './region-map.ts';

/**
 * Whether the text of statements may be sent to a host of an availability zone. The region of the caller is not known: it
 * may have connected to this host from another region, whose hosts are all lost.
 *
 * @param zone Zone of the receiving host; undefined if it is not known.
 */
export function isHostAllowed(zone: string | undefined, {allowed, regions}: {readonly allowed: AllowedRegions; readonly regions: RegionMap}): boolean {
	return allowed === undefined || (zone !== undefined && isZoneAllowed(zone, {allowed, regions}));
}
