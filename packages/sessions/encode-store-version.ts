import type {StoreVersion} from './store-version.ts';
import {versionsPerEra} from './versions-per-era.ts';

/**
 * Encodes a version of the store as one number that never goes back and is never given out twice.
 *
 * Versions of the first era are encoded as they are, as hosts that do not know eras pass them on.
 */
export function encodeStoreVersion({era, counter}: StoreVersion): number {
	return ((era - 1) * versionsPerEra) + counter;
}
