import type {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Metrics of a host that serves sessions. */
export type SessionMetrics = {
	readonly registry: Registry;
	/** Statements answered, by kind and result. */
	readonly statements: Counter<'kind' | 'result'>;
	/** Seconds from a statement to its answer, by kind. */
	readonly statementSeconds: Histogram<'kind'>;
	/** Seconds of statements, by the part in which they went by; see `StatementTrace`. */
	readonly phaseSeconds: Counter<'part'>;
	/** Calls to the store, by kind and result. */
	readonly storeCalls: Counter<'kind' | 'result'>;
	readonly droppedLines: Counter;
	readonly sessions: Gauge;
};
