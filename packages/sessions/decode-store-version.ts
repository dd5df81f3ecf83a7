import type {StoreVersion} from './store-version.ts';
import {versionsPerEra} from './versions-per-era.ts';

/** Decodes a version that `encodeStoreVersion` encoded. */
export function decodeStoreVersion(version: number): StoreVersion {
	return {era: Math.floor(version / versionsPerEra) + 1, counter: version % versionsPerEra};
}
