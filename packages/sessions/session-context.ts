import type {Access} from './access.ts';
import type {ByteBudget} from './byte-budget.ts';
import type {Caller} from './caller.ts';
import type {Instant} from './instant.ts';
import type {RateLimiter} from './rate-limiter.ts';
import type {RegionMap} from './regions/region-map.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StatementTrace} from './statement-trace.ts';
import type {StopPhase} from './stop-phase.ts';

/** An answered statement, for logs and metrics. The names of the properties are the names of the log fields. */
type AnsweredStatement = {
	readonly id: string;
	readonly session: number;
	readonly kind: string;
	readonly database: string;
	readonly workspace: string;
	readonly outcome: StatementOutcome;
	/** Milliseconds from the arrival of the statement to its answer. */
	readonly elapsed: number;
	/** Decisions taken for the statement, and how long each phase took. */
	readonly trace: Pick<StatementTrace, 'steps' | 'spans'>;
};

/** Functions of the host that sessions use. */
export type SessionContext = {
	readonly now: () => Instant;
	/** Checks the route and the key against the newest configuration; denies access if that may be stale. */
	readonly findAccess: (caller: Caller) => Access;
	/** Returns the idle timeout of transactions in milliseconds. */
	readonly transactionIdleLimit: () => number;
	/** The regions of the deployment. */
	readonly regions: RegionMap;
	/** Called when a statement finds its primary, or all instances, outside of the allowed regions. */
	readonly onRegionRefused: () => void;
	readonly findGroup: (name: string) => SessionGroup | undefined;
	/** Takes one operation from a workspace's rate; see `RateLimiter`. */
	readonly takeOperation: RateLimiter['takeOperation'];
	/** Returns the phase of the host's planned stop; `serving` if it does not stop. */
	readonly findStopPhase: () => StopPhase;
	/** Bytes that the values and prepared statements of all sessions may take. */
	readonly valueBudget: ByteBudget;
	/** Bytes that the large statements of all sessions and of other hosts' jobs may take while they run. */
	readonly statementBudget: ByteBudget;
	readonly onAnswered: (answered: AnsweredStatement) => void;
	readonly log: SessionLog;
};
