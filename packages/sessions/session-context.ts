import type {Access} from './access.ts';
import type {Caller} from './caller.ts';
import type {Instant} from './instant.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StatementTrace} from './statement-trace.ts';

/** A statement that was answered, for logs and metrics. */
type AnsweredStatement = {
	readonly id: string;
	readonly session: number;
	readonly kind: string;
	readonly database: string;
	readonly workspace: string;
	readonly outcome: StatementOutcome;
	/** Milliseconds. */
	readonly elapsed: number;
	/** What was decided on the way, and where the time went. */
	readonly trace: Pick<StatementTrace, 'steps' | 'spans'>;
};

/** What sessions use of their host. */
export type SessionContext = {
	readonly now: () => Instant;
	/** Checks the route and the key by the newest configuration, if that is known to be fresh enough. */
	readonly findAccess: (caller: Caller) => Access;
	/** Milliseconds for which a transaction may stand idle. */
	readonly transactionIdleLimit: () => number;
	readonly findGroup: (name: string) => SessionGroup | undefined;
	/** Takes one operation from the workspace's share; else says after how many milliseconds to come back. */
	readonly takeOperation: (workspace: string) => Promise<{readonly isTaken: boolean; readonly retryAfter: number}>;
	readonly onAnswered: (answered: AnsweredStatement) => void;
	readonly log: SessionLog;
};
