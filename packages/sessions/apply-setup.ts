import {findMark} from './find-mark.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import type {SessionSetup} from './session-setup.ts';

type PreparedStatement = SessionSetup['prepared'] extends ReadonlyMap<string, infer Value> ? Value : never;

type Options = {
	readonly setup: SessionSetup;
	/** Name of the prepared statement that the next query executes, if any. */
	readonly prepared: string | undefined;
	/** Whether the session's transaction is open on the connection; the connection must not be reset then. */
	readonly isInTransaction: boolean;
	readonly send: (request: InstanceRequest) => Promise<InstanceAnswer>;
};

/** Prepared statements of a connection above which it is reset, outside of a transaction. */
const maxPrepared = 200;

/** Prepared statements of a connection above which no further one is prepared, also within a transaction. */
const maxPreparedInTransaction = 400;

/**
 * Sets the session's variables on a connection and starts to prepare the statement that the next query executes.
 *
 * Resets the connection first if it holds variables of another session, or many prepared statements. A connection
 * remembers long texts by their digests, so that it does not keep the values of sessions in memory.
 *
 * @returns False if the instance did not confirm a reset or a variable, or if the session has no prepared statement of
 * this name, or the transaction has prepared too many.
 */
export async function applySetup(pooled: PooledConnection, {setup, prepared, isInTransaction, send}: Options): Promise<boolean> {
	const wanted = [...setup.variables].map(([name, value]) => ({
		name, value, nameMark: findMark(name), valueMark: findMark(value),
	}));
	const wantedNames = new Set(wanted.map(({nameMark}) => nameMark));
	const hasForeignVariables = [...pooled.variables.keys()].some(name => !wantedNames.has(name));
	if ((hasForeignVariables || pooled.prepared.size >= maxPrepared) && !isInTransaction) {
		if (!hasSucceeded(await send({kind: 'reset'}))) {
			return false;
		}

		pooled.variables.clear();
		pooled.prepared.clear();
	}

	const outdated = wanted.filter(({nameMark, valueMark}) => pooled.variables.get(nameMark) !== valueMark);
	const answers = await Promise.all(outdated.map(async ({name, value}) => send({kind: 'set', name, value})));
	if (!answers.every(answer => hasSucceeded(answer))) {
		return false;
	}

	for (const {nameMark, valueMark} of outdated) {
		pooled.variables.set(nameMark, valueMark);
	}

	return prepared === undefined || ensurePrepared(pooled, {setup, prepared, send});
}

function ensurePrepared(pooled: PooledConnection, {setup, prepared, send}: Pick<Options, 'setup' | 'send'> & {readonly prepared: string}): boolean {
	const statement = setup.prepared.get(prepared);
	if (statement === undefined) {
		return false;
	}

	const shape = findMark(`${statement.access} ${statement.shape}`);
	if (pooled.prepared.has(shape)) {
		return true;
	}

	if (pooled.prepared.size >= maxPreparedInTransaction) {
		return false;
	}

	void startPreparing(pooled, {statement, shape, send});
	return true;
}

/**
 * Prepares a statement on a connection.
 *
 * The query that executes the statement may be sent without waiting for the answer: if preparing fails, the instance
 * rejects the query with an unknown name and has run nothing.
 */
async function startPreparing(pooled: PooledConnection, {statement, shape, send}: Pick<Options, 'send'> & {readonly statement: PreparedStatement; readonly shape: string}): Promise<void> {
	const name = findFreeName(pooled.prepared);
	pooled.prepared.set(shape, name);
	const answer = await send({kind: 'prepare', name, prepared: statement});
	if (!hasSucceeded(answer)) {
		pooled.prepared.delete(shape);
	}
}

/** Finds a name above all others, since one that was removed may not be the last. Names ascend in the order of the entries. */
function findFreeName(prepared: PooledConnection['prepared']): string {
	const last = [...prepared.values()].at(-1);
	return `p${Number(last?.slice(1) ?? 0) + 1}`;
}

function hasSucceeded(answer: InstanceAnswer): boolean {
	return answer.kind === 'answered' && answer.outcome.kind === 'done';
}
