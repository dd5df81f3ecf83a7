import type {InstanceRuntime} from './instance-runtime.ts';

type Options = {
	/** Workspace whose connections are used. */
	readonly workspace: string;
	/** Milliseconds within which the instance must answer. */
	readonly timeout: number;
};

/** Checks whether an instance answers a message that takes no slot. */
export async function isAnswering(instance: InstanceRuntime, options: Options): Promise<boolean> {
	const deadline = new Promise<boolean>(resolve => {
		setTimeout(() => {
			resolve(false);
		}, options.timeout);
	});
	return Promise.race([sendReset(instance, options), deadline]);
}

async function sendReset(instance: InstanceRuntime, {workspace, timeout}: Options): Promise<boolean> {
	const acquired = await instance.pool.acquire({workspace, priority: 0, timeout});
	if (acquired.kind !== 'acquired') {
		return acquired.kind === 'busy' && instance.health().unansweredSince === undefined;
	}

	const {connection: pooled} = acquired;
	const answer = await instance.send(pooled, {kind: 'reset'}, timeout);
	pooled.variables.clear();
	pooled.prepared.clear();
	instance.pool.release(pooled, answer.kind === 'answered' && answer.state === 'idle');
	return answer.kind === 'answered';
}
