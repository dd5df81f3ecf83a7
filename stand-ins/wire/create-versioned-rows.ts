import type {StoreStandInRow} from './store-stand-in-row.ts';

/** The rows of the simulated store, with the history of their changes. */
type VersionedRows = {
	/** Returns the newest version. */
	readonly version: () => number;
	readonly findRow: (table: string, key: string) => StoreStandInRow | undefined;
	readonly listRows: (table: string | null) => readonly StoreStandInRow[];
	/** Writes and deletes rows in one transaction. */
	readonly write: (changes: ReadonlyArray<Omit<StoreStandInRow, 'ver'>>) => void;
	/** Returns whether all changes after a version are known. */
	readonly isCovered: (after: number) => boolean;
	/** Lists the changes of a table after a version. */
	readonly listChanges: (table: string | null, after: number) => readonly StoreStandInRow[];
	/** Discards the history of the changes. */
	readonly compact: () => void;
	/** Goes back to the state of a moment, in milliseconds of the steady clock, and forgets all writes after it; returns these. */
	readonly rewind: (to: number) => readonly StoreStandInRow[];
};

/**
 * Creates the rows of the simulated store, none at first.
 *
 * @param onWrite Called after each transaction.
 */
export function createVersionedRows(onWrite: () => void): VersionedRows {
	const rows = new Map<string, StoreStandInRow>();
	/** All writes, with when each was made, in milliseconds of the steady clock. */
	let writes: Array<{readonly at: number; readonly row: StoreStandInRow}> = [];
	let history: StoreStandInRow[] = [];
	let compactedVersion = 0;
	let version = 0;

	const applyRow = (row: StoreStandInRow) => {
		if (row.tombstone === true) {
			rows.delete(`${row.table}/${row.key}`);
		} else {
			rows.set(`${row.table}/${row.key}`, row);
		}
	};

	return {
		version: () => version,
		findRow: (table, key) => rows.get(`${table}/${key}`),
		listRows: table => [...rows.values()].filter(row => row.table === table),
		write(changes) {
			version++;
			for (const change of changes) {
				const row = {...change, ver: version};
				history.push(row);
				writes.push({at: performance.now(), row});
				applyRow(row);
			}

			onWrite();
		},
		isCovered: after => after >= compactedVersion && after <= version,
		listChanges: (table, after) => history.filter(row => row.table === table && row.ver > after),
		compact() {
			history = [];
			compactedVersion = version;
		},
		rewind(to) {
			const kept = writes.filter(({at}) => at <= to);
			const lost = writes.slice(kept.length);
			rows.clear();
			for (const {row} of kept) {
				applyRow(row);
			}

			writes = kept;
			version = kept.at(-1)?.row.ver ?? 0;
			history = history.filter(row => row.ver <= version);
			return lost.map(({row}) => row);
		},
	};
}
