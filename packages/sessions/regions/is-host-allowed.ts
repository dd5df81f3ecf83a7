import type {AllowedRegions} from './allowed-regions.ts';
import {isZoneAllowed} from './is-zone-allowed.ts';
import type {RegionMap} from './region-map.ts';

/**
 * Whether the text of statements may be sent to a host of an availability zone. The caller connected to this host, so that
 * hosts of this host's region may receive the text as well as those of allowed regions.
 *
 * @param zone Zone of the receiving host; undefined if it is not known.
 */
export function isHostAllowed(zone: string | undefined, {allowed, regions}: {readonly allowed: AllowedRegions; readonly regions: RegionMap}): boolean {
	if (allowed === undefined) {
		return true;
	}

	if (zone === undefined) {
		return false;
	}

	const isOwnRegion = regions.own !== undefined && regions.byZone.get(zone) === regions.own;
	return isOwnRegion || isZoneAllowed(zone, {allowed, regions});
}
