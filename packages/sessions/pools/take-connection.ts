import type {createJobTimer} from '../create-job-timer.ts';
import type {JobAnswer} from '../job-answer.ts';
import type {AcquireRequest} from './acquire-request.ts';
import type {InstancePool} from './instance-pool.ts';
import type {PooledConnection} from './pooled-connection.ts';

type Options = {
	/** For whom the connection is, and how long it may take. */
	readonly request: AcquireRequest;
	/** Timer of the job that takes the connection. */
	readonly timer: ReturnType<typeof createJobTimer>;
};

type NotSentAnswer = Extract<JobAnswer, {readonly kind: 'notSent'}>;

/** Takes a connection for a job from the pool; returns the answer to the job if there is none in time. */
export async function takeConnection(pool: InstancePool, {request, timer}: Options): Promise<PooledConnection | NotSentAnswer> {
	const acquired = await pool.acquire(request);
	if (acquired.kind === 'acquired') {
		timer.recordAcquired(acquired.openMs);
		return acquired.connection;
	}

	if (acquired.kind === 'unreachable') {
		return {kind: 'notSent', reason: 'no connection (unreachable)', isUnreachable: true};
	}

	const {ahead, retryAfterMs} = acquired;
	const reason = ahead === undefined ? 'no connection (busy)' : `no connection in time (busy; ${ahead} requests are ahead)`;
	return {
		kind: 'notSent', reason, isUnreachable: false, ...retryAfterMs !== undefined && {retryAfterMs},
	};
}
