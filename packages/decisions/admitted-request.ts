import type {Freshness} from './freshness.ts';
import type {LogPoint} from './log-point.ts';
import type {SqlStatement} from './sql-statement.ts';

/** A request that has passed admission for a workspace. Carries no key. */
export type AdmittedRequest = {
	readonly requestId: string;
	readonly workspace: string;
	readonly database: string;
	readonly statements: readonly SqlStatement[];
	readonly work:
		| {readonly kind: 'read'; readonly freshness: Freshness; readonly point: LogPoint | undefined}
		| {readonly kind: 'write'; readonly idempotencyKey: string};
	/** Units of the workspace's rate that the request costs. */
	readonly cost: number;
	/** Monotonic milliseconds at which the request arrived. */
	readonly arrivedAt: number;
	/** Monotonic milliseconds after which the caller no longer waits for an answer. */
	readonly deadline: number;
};
