import type {AllowedRegions} from './allowed-regions.ts';
import type {RegionMap} from './region-map.ts';

/** Whether statements may reach the instances of an availability zone. A zone of an unknown region is not allowed under a restriction. */
export function isZoneAllowed(zone: string, {allowed, regions}: {readonly allowed: AllowedRegions; readonly regions: RegionMap}): boolean {
	if (allowed === undefined) {
		return true;
	}

	const region = regions.byZone.get(zone);
	return region !== undefined && allowed.has(region);
}
