import {setTimeout as sleep} from 'node:timers/promises';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {InstanceStatus} from './instance-status.ts';
import {parseStatus} from './parse-status.ts';

type Options = {
	/** Workspace whose connections are used. */
	readonly workspace: string;
	/** Milliseconds within which the instance must answer. */
	readonly timeout: number;
};

/** Requests the role, term and last log position of an instance; undefined when it does not answer in time. */
export async function readStatus(instance: InstanceRuntime, options: Options): Promise<InstanceStatus | undefined> {
	return Promise.race([requestStatus(instance, options), sleep(options.timeout, undefined)]);
}

async function requestStatus(instance: InstanceRuntime, {workspace, timeout}: Options): Promise<InstanceStatus | undefined> {
	const acquired = await instance.pool.acquire({workspace, priority: 0, timeout});
	if (acquired.kind !== 'acquired') {
		return undefined;
	}

	const answer = await instance.send(acquired.connection, {kind: 'status'}, timeout);
	instance.pool.release(acquired.connection, answer.kind === 'answered' && answer.state === 'idle');
	return answer.kind === 'answered' && answer.outcome.kind === 'done' ? parseStatus(answer.outcome.rows[0] ?? '') : undefined;
}
