import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {PooledLink} from './pooled-link.ts';
import type {SessionSetup} from './session-setup.ts';

type PreparedStatement = SessionSetup['prepared'] extends ReadonlyMap<string, infer Value> ? Value : never;

type Options = {
	readonly setup: SessionSetup;
	/** Name of the prepared statement that is to run, if any. */
	readonly prepared: string | undefined;
	/** Whether the connection is inside the session's transaction, where it must not be reset. */
	readonly isInTransaction: boolean;
	readonly send: (request: InstanceRequest) => Promise<InstanceAnswer>;
};

/**
 * Brings a connection to the values of a session, and begins to prepare the statement that is to run.
 *
 * @returns Whether the connection now holds just what the session set.
 */
export async function applySetup(pooled: PooledLink, {setup, prepared, isInTransaction, send}: Options): Promise<boolean> {
	const isForeign = [...pooled.values.keys()].some(name => !setup.variables.has(name));
	if (isForeign && !isInTransaction) {
		if (!isDone(await send({kind: 'reset'}))) {
			return false;
		}

		pooled.values.clear();
		pooled.prepared.clear();
	}

	const missing = [...setup.variables].filter(([name, value]) => pooled.values.get(name) !== value);
	const answers = await Promise.all(missing.map(async ([name, value]) => send({kind: 'set', name, value})));
	if (!answers.every(answer => isDone(answer))) {
		return false;
	}

	for (const [name, value] of missing) {
		pooled.values.set(name, value);
	}

	return prepared === undefined || applyPrepared(pooled, {setup, prepared, send});
}

function applyPrepared(pooled: PooledLink, {setup, prepared, send}: Pick<Options, 'setup' | 'send'> & {readonly prepared: string}): boolean {
	const statement = setup.prepared.get(prepared);
	if (statement === undefined) {
		return false;
	}

	const shape = `${statement.access} ${statement.shape}`;
	if (pooled.prepared.has(shape)) {
		return true;
	}

	void prepare(pooled, {statement, shape, send});
	return true;
}

/**
 * Prepares a statement on a connection. What runs it may follow at once: where the preparing fails the instance answers
 * that it knows no such name, and has run nothing.
 */
async function prepare(pooled: PooledLink, {statement, shape, send}: Pick<Options, 'send'> & {readonly statement: PreparedStatement; readonly shape: string}): Promise<void> {
	const name = `p${pooled.prepared.size + 1}`;
	pooled.prepared.set(shape, name);
	const answer = await send({kind: 'prepare', name, prepared: statement});
	if (!isDone(answer)) {
		pooled.prepared.delete(shape);
	}
}

function isDone(answer: InstanceAnswer): boolean {
	return answer.kind === 'answered' && answer.outcome.kind === 'done';
}
