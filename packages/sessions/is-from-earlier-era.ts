import {decodeStoreVersion} from './decode-store-version.ts';
import {epochsPerEra} from './epochs-per-era.ts';
import type {Versioned} from './versioned.ts';

/**
 * Whether a stored row that names who may act was written before the store came back from an older copy. It may have been
 * replaced in the seconds that the store lost, so it counts for nothing until a host has written it again.
 */
export function isFromEarlierEra({epoch, version}: Versioned<{readonly epoch: number}>): boolean {
	return Math.floor(epoch / epochsPerEra) + 1 < decodeStoreVersion(version).era;
}
