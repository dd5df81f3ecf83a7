import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {PooledLink} from './pooled-link.ts';
import type {SessionValues} from './session-values.ts';

type Options = {
	readonly setup: SessionValues;
	/** Name of the prepared statement that is to run, if any. */
	readonly prepared: string | undefined;
	/** Whether the connection is inside the session's transaction, where it must not be reset. */
	readonly isInTransaction: boolean;
	readonly send: (request: InstanceRequest) => Promise<InstanceAnswer>;
};

/**
 * Brings a connection to the values of a session, and prepares the statement that is to run.
 *
 * @returns Whether the connection now holds just what the session set.
 */
export async function applySetup(pooled: PooledLink, {setup, prepared, isInTransaction, send}: Options): Promise<boolean> {
	const isForeign = [...pooled.values.keys()].some(name => !setup.values.has(name));
	if (isForeign && !isInTransaction) {
		if (!isDone(await send({kind: 'reset'}))) {
			return false;
		}

		pooled.values.clear();
		pooled.prepared.clear();
	}

	const missing = [...setup.values].filter(([name, value]) => pooled.values.get(name) !== value);
	const answers = await Promise.all(missing.map(async ([name, value]) => send({kind: 'set', name, value})));
	if (!answers.every(answer => isDone(answer))) {
		return false;
	}

	for (const [name, value] of missing) {
		pooled.values.set(name, value);
	}

	return prepared === undefined || applyPrepared(pooled, {setup, prepared, send});
}

async function applyPrepared(pooled: PooledLink, {setup, prepared, send}: Pick<Options, 'setup' | 'send'> & {readonly prepared: string}): Promise<boolean> {
	const statement = setup.prepared.get(prepared);
	if (statement === undefined) {
		return false;
	}

	const shape = `${statement.access} ${statement.shape}`;
	if (pooled.prepared.has(shape)) {
		return true;
	}

	const name = `p${pooled.prepared.size + 1}`;
	if (!isDone(await send({kind: 'prepare', name, prepared: statement}))) {
		return false;
	}

	pooled.prepared.set(shape, name);
	return true;
}

function isDone(answer: InstanceAnswer): boolean {
	return answer.kind === 'answered' && answer.outcome.kind === 'done';
}
