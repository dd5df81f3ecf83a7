import type {createJobTimer} from '../create-job-timer.ts';
import {createUnservedAnswer} from '../waiting/create-unserved-answer.ts';
import type {AcquireRequest} from './acquire-request.ts';
import type {InstancePool} from './instance-pool.ts';
import type {PooledConnection} from './pooled-connection.ts';

type Options = {
	/** For whom the connection is, and how long it may take. */
	readonly request: AcquireRequest;
	/** Timer of the job that takes the connection. */
	readonly timer: ReturnType<typeof createJobTimer>;
};

/** Takes a connection for a job from the pool; returns the answer to the job if there is none in time. */
export async function takeConnection(pool: InstancePool, {request, timer}: Options): Promise<PooledConnection | ReturnType<typeof createUnservedAnswer>> {
	const acquired = await pool.acquire(request);
	if (acquired.kind === 'acquired') {
		timer.recordAcquired(acquired.openMs);
		return acquired.connection;
	}

	return createUnservedAnswer(acquired, 'connection');
}
