import {decodeStoreVersion} from '../decode-store-version.ts';
import type {StoreRow} from '../store-row.ts';

type Rows = ReadonlyMap<string, StoreRow>;

type Options = {
	/** Rows that this host has. */
	readonly known: Rows | undefined;
	/** Rows that were read from the store or received from another host. */
	readonly newer: Rows;
	/** Era of the store in which the newer rows were read. */
	readonly era: number;
	/** Whether the row with a key requests an evacuation. */
	readonly isEvacuation: (key: string) => boolean;
};

/**
 * Chooses the rows that request evacuations when newer rows arrive; returns the newer rows with those that are kept.
 *
 * When the store comes back from an older copy, it may lack a request that it has acknowledged. A host then keeps the row that
 * it knows and passes it on. Only a row that was read in the present era is taken back by its absence.
 */
export function chooseEvacuationRows({known, newer, era, isEvacuation}: Options): Rows {
	const kept = [...known ?? []].filter(([key, row]) => isEvacuation(key) && !newer.has(key) && decodeStoreVersion(row.version).era < era);
	return kept.length === 0 ? newer : new Map([...newer, ...kept]);
}
