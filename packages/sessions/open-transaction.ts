/* eslint-disable no-await-in-loop -- the steps follow each other */
import {applySetup} from './apply-setup.ts';
import {chooseTarget} from './choose-target.ts';
import {createBusy} from './create-busy.ts';
import {hasNotRun} from './has-not-run.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Instant} from './instant.ts';
import type {Operation} from './operation.ts';
import type {PooledLink} from './pooled-link.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Target} from './target.ts';

/** The connection of a transaction that has begun. */
type Opened = {
	readonly kind: 'opened';
	readonly instance: InstanceRuntime;
	readonly pooled: PooledLink;
	/** Epoch of the primary that it relies on; undefined on a replica. */
	readonly epoch: number | undefined;
};

/** Times that a transaction is begun on instances at most. */
const attemptsLimit = 5;

/** Milliseconds within which an instance must answer the beginning of a transaction. */
const beginTimeout = 600;

/** Begins a transaction on an instance that may serve it; one that only reads may go to a replica. */
export async function openTransaction(operation: Operation, isReadOnly: boolean): Promise<Opened | {readonly kind: 'failed'; readonly outcome: StatementOutcome}> {
	const {context, deadline} = operation;
	const tried = new Set<string>();
	let outcome: StatementOutcome = createBusy('No instance can begin the transaction', 100);
	for (let attempt = 0; attempt < attemptsLimit; attempt++) {
		const left = deadline - context.now().steady;
		const target = left > 0 ? await chooseTarget(operation, {isReadOnly, tried, left}) : undefined;
		if (target === undefined) {
			break;
		}

		if (target.epoch === undefined) {
			tried.add(target.instance.listed().id);
		}

		const begun = await tryTarget(operation, target, isReadOnly);
		if (begun.kind === 'opened') {
			return begun;
		}

		({outcome} = begun);
	}

	return {kind: 'failed', outcome};
}

async function tryTarget(operation: Operation, target: Target, isReadOnly: boolean): Promise<Opened | {readonly kind: 'failed'; readonly outcome: StatementOutcome}> {
	const {context, group, route, workspace, deadline} = operation;
	const {instance, after, epoch} = target;
	const {id} = instance.listed();
	const acquired = await instance.pool.acquire({workspace, priority: route.priority, timeout: deadline - context.now().steady});
	if (acquired.kind !== 'acquired') {
		operation.trace(`${id}: no connection (${acquired.kind})`);
		return {kind: 'failed', outcome: createBusy(`Instance ${id} takes no connection`, 100)};
	}

	const {link: pooled} = acquired;
	const isReady = await applySetup(pooled, {
		setup: operation.setup, prepared: undefined, isInTransaction: false, send: async request => instance.send(pooled, request, beginTimeout),
	});
	if (!isReady) {
		instance.pool.release(pooled, false);
		return {kind: 'failed', outcome: createBusy(`Instance ${id} did not take the session's values`, 100)};
	}

	const askedAt: Instant = context.now();
	const answer = await instance.send(pooled, {kind: 'begin', isReadOnly, after}, Math.max(1, Math.min(beginTimeout, deadline - askedAt.steady)));
	if (answer.kind === 'answered' && answer.outcome.kind === 'done' && answer.state === 'open') {
		if (epoch !== undefined) {
			group.noteAnswer(id, answer, {at: askedAt, epoch});
		}

		operation.trace(`${id}: transaction begun`);
		return {
			kind: 'opened', instance, pooled, epoch,
		};
	}

	instance.pool.release(pooled, answer.kind === 'answered' && answer.state === 'idle');
	const code = answer.kind === 'answered' && answer.outcome.kind === 'failed' ? answer.outcome.code : 'lost';
	operation.trace(`${id}: transaction not begun (${code})`);
	if (code === 'lagging' && after !== undefined) {
		instance.noteLag(after);
	}

	return {kind: 'failed', outcome: createBusy(`Instance ${id} did not begin the transaction (${code !== 'lost' && hasNotRun(code) ? code : 'no answer'})`, 100)};
}
