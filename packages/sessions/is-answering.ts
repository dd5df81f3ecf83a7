import type {InstanceRuntime} from './instance-runtime.ts';

type Options = {
	/** Workspace in whose name the instance is asked. */
	readonly workspace: string;
	/** Milliseconds. */
	readonly timeout: number;
};

/** Asks an instance for a sign of life, by a message that takes no slot. */
export async function isAnswering(instance: InstanceRuntime, options: Options): Promise<boolean> {
	const deadline = new Promise<boolean>(resolve => {
		setTimeout(() => {
			resolve(false);
		}, options.timeout);
	});
	return Promise.race([askInstance(instance, options), deadline]);
}

async function askInstance(instance: InstanceRuntime, {workspace, timeout}: Options): Promise<boolean> {
	const acquired = await instance.pool.acquire({workspace, priority: 0, timeout});
	if (acquired.kind !== 'acquired') {
		return acquired.kind === 'busy' && instance.health().unansweredSince === undefined;
	}

	const {connection: pooled} = acquired;
	const answer = await instance.send(pooled, {kind: 'reset'}, timeout);
	pooled.values.clear();
	pooled.prepared.clear();
	instance.pool.release(pooled, answer.kind === 'answered' && answer.state === 'idle');
	return answer.kind === 'answered';
}
