import type {AddressInfo} from 'node:net';

/** How the store answers: normally, with status 503, or not at all. */
type StoreMode = 'available' | 'unavailable' | 'unresponsive';

/** A simulated store of the platform that holds its rows in memory. */
export type StoreStandIn = {
	readonly address: () => AddressInfo;
	/** Writes a row on behalf of an operator or an instance. */
	readonly put: (table: string, key: string, value: unknown) => void;
	readonly delete: (table: string, key: string) => void;
	/** Returns the decoded value of a row, or `undefined` if the row does not exist. */
	readonly read: (table: string, key: string) => unknown;
	/** Changes how the store answers, and closes all connections. */
	readonly setMode: (mode: StoreMode) => void;
	/** Applies the next commits, and closes the connection of each instead of answering. */
	readonly loseAnswers: (count: number) => void;
	/** Discards the change history, so that clients that follow it must read the whole table again. */
	readonly compact: () => void;
	readonly close: () => void;
};
