import type {createJobTimer} from '../create-job-timer.ts';
import type {JobAnswer} from '../job-answer.ts';
import type {InstancePool} from './instance-pool.ts';
import type {PooledConnection} from './pooled-connection.ts';

type Options = {
	/** For whom the connection is, and how long it may take. */
	readonly request: Parameters<InstancePool['acquire']>[0];
	/** Timer of the job that takes the connection. */
	readonly timer: ReturnType<typeof createJobTimer>;
};

/** Takes a connection for a job from the pool; returns the answer to the job if there is none in time. */
export async function takeConnection(pool: InstancePool, {request: {workspace, priority, timeout}, timer}: Options): Promise<PooledConnection | Extract<JobAnswer, {readonly kind: 'notSent'}>> {
	const acquired = await pool.acquire({workspace, priority, timeout});
	if (acquired.kind === 'acquired') {
		timer.recordAcquired(acquired.openMs);
		return acquired.connection;
	}

	return {kind: 'notSent', reason: `no connection (${acquired.kind})`, isUnreachable: acquired.kind === 'unreachable'};
}
