import type {EnterOutcome} from './enter-outcome.ts';
import type {StatementPlace} from './statement-place.ts';

/** What is to enter: a single statement, or a transaction that begins. */
type EnterRequest = {
	readonly kind: 'single' | 'begin';
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time in milliseconds of the steady clock after which the request waits no longer. */
	readonly deadline: number;
};

/** What a gate counts. */
type GateLoad = {
	readonly inProgress: number;
	readonly waiting: number;
	readonly limit: number;
	readonly openTransactions: number;
	/** Whether a statement has entered. */
	readonly isUsed: boolean;
	/** How often the limit has fallen, by cause. */
	readonly falls: Readonly<Record<'latency' | 'busy' | 'failed', number>>;
};

/** Limits the statements of this host that are in progress at an instance, at the pace at which the instance answers. */
export type StatementGate = {
	/** Waits for a place. A transaction that has entered counts as open until `endTransaction`. */
	readonly enter: (request: EnterRequest) => Promise<EnterOutcome>;
	/** Waits for the place of a statement of an open transaction, which goes first and soon. */
	readonly enterWithin: () => Promise<StatementPlace>;
	/** Takes a place for a commit, which does not wait. */
	readonly enterCommit: () => StatementPlace;
	readonly endTransaction: () => void;
	/** Begins a slow start. */
	readonly restart: () => void;
	readonly readLoad: () => GateLoad;
};
