import type {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Metrics of a host that serves sessions. */
export type SessionMetrics = {
	readonly registry: Registry;
	/** Statements answered, by kind and result. */
	readonly statements: Counter<'kind' | 'result'>;
	/** Latency of statements in seconds, by kind. */
	readonly statementSeconds: Histogram<'kind'>;
	/** Total seconds that statements spent in each phase; see `StatementTrace.spans`. */
	readonly phaseSeconds: Counter<'part'>;
	/** Seconds for which requests waited for a connection, by priority and by whether they were served or why not. */
	readonly waitSeconds: Histogram<'priority' | 'outcome'>;
	/** Calls to the store, by kind and result. */
	readonly storeCalls: Counter<'kind' | 'result'>;
	/** Log lines dropped by the rate limit or a full output. */
	readonly droppedLines: Counter;
	/** Availability zones that this host knows to be evacuated. */
	readonly evacuatedZones: Gauge;
	/** Statements that were not sent to a cold instance, since this host had no permit. */
	readonly coldRefusals: Counter;
	/** Attempts of statements that found their primary, or all instances, outside of the allowed regions. */
	readonly regionRefusals: Counter;
	/** Connections refused or closed to keep to the host's limits, by port and reason. */
	readonly closedConnections: Counter<'port' | 'reason'>;
	/** Open sessions. */
	readonly sessions: Gauge;
};
