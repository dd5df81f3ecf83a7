import type {EnterOutcome} from './enter-outcome.ts';
import type {EnteringRequest} from './entering-request.ts';
import type {StatementPlace} from './statement-place.ts';

/** What a gate counts. */
type GateLoad = {
	readonly inProgress: number;
	readonly waiting: number;
	readonly limit: number;
	/** Transactions that are open or about to begin. */
	readonly openTransactions: number;
	/** Whether a statement has entered. */
	readonly isUsed: boolean;
	/** How often the limit has fallen, by cause. */
	readonly falls: Readonly<Record<'latency' | 'busy' | 'failed', number>>;
};

/** Limits the statements of this host that are in progress at an instance, at the pace at which the instance answers. */
export type StatementGate = {
	/** Waits for a place. A transaction that has entered counts as open until its `endTransaction`. */
	readonly enter: (request: Omit<EnteringRequest, 'permit'>) => Promise<EnterOutcome>;
	/** Waits for the place of a statement of an open transaction, which goes first and soon. */
	readonly enterWithin: () => Promise<StatementPlace>;
	/** Takes a place for a commit, which does not wait. */
	readonly enterCommit: () => StatementPlace;
	/** Begins a slow start. */
	readonly restart: () => void;
	readonly readLoad: () => GateLoad;
};
