import type {AddressInfo} from 'node:net';

/** How the store answers: normally, with status 503, or not at all. */
type StoreMode = 'available' | 'unavailable' | 'unresponsive';

/** How the store comes back from an older copy. */
type Restore = {
	/** Milliseconds before now whose writes are lost. */
	readonly lostMs: number;
	/** Milliseconds for which the store is away. */
	readonly awayMs: number;
	/** Milliseconds after the return until the operator and the instances write again what they had written; undefined if they do not. */
	readonly rewriteAfterMs: number | undefined;
};

/** A simulated store of the platform that holds its rows in memory. */
export type StoreStandIn = {
	readonly address: () => AddressInfo;
	/** Writes a row on behalf of an operator or an instance. */
	readonly put: (table: string, key: string, value: unknown) => void;
	/** Writes a row whose value need not be JSON. */
	readonly putText: (table: string, key: string, value: string) => void;
	/** Writes rows, by key, whose values need not be JSON, in one transaction. */
	readonly putTexts: (table: string, values: ReadonlyMap<string, string>) => void;
	readonly delete: (table: string, key: string) => void;
	/** Returns the decoded value of a row, or `undefined` if the row does not exist. */
	readonly read: (table: string, key: string) => unknown;
	/** Changes how the store answers, and closes all connections. */
	readonly setMode: (mode: StoreMode) => void;
	/** Comes back from an older copy in a new era: the versions of the lost writes are given out again. */
	readonly restore: (restore: Restore) => Promise<void>;
	/** Returns the newest version. */
	readonly version: () => number;
	/** Applies the next commits, and closes the connection of each instead of answering. */
	readonly loseAnswers: (count: number) => void;
	/** Discards the change history, so that clients that follow it must read the whole table again. */
	readonly compact: () => void;
	readonly close: () => void;
};
