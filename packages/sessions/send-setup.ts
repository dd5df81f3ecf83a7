import {applySetup} from './apply-setup.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

type SetupOptions = Parameters<typeof applySetup>[1];

type Options = Pick<SetupOptions, 'setup' | 'prepared' | 'isInTransaction'> & {
	readonly send: InstanceRuntime['send'];
	/** Milliseconds to wait for each answer of the instance. */
	readonly timeout: number;
};

/** Sends the session's setup on a connection. If that fails, closes the connection and returns the answer to the job. */
export async function sendSetup(pooled: PooledConnection, {send, timeout, ...setupOptions}: Options): Promise<JobAnswer | undefined> {
	const isReady = await applySetup(pooled, {...setupOptions, send: async request => send(pooled, request, timeout)});
	if (isReady) {
		return undefined;
	}

	pooled.connection.close();
	return {kind: 'notSent', reason: 'the connection did not take the session\'s values'};
}
