import type {AddressInfo} from 'node:net';

/** How the store answers: as it should, with a refusal, or not at all. */
type StoreMode = 'ready' | 'refusing' | 'silent';

/** The platform's store, in memory. */
export type StoreStandIn = {
	readonly address: () => AddressInfo;
	/** Writes a row as the operator or an instance does. */
	readonly put: (table: string, key: string, value: unknown) => void;
	readonly delete: (table: string, key: string) => void;
	readonly read: (table: string, key: string) => unknown;
	readonly setMode: (mode: StoreMode) => void;
	/** Lets the next commits take effect without an answer. */
	readonly loseAnswers: (count: number) => void;
	/** Forgets the history, so that calls which follow it must read anew. */
	readonly compact: () => void;
	readonly close: () => void;
};
