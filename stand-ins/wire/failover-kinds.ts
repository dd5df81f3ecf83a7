/* eslint-disable no-await-in-loop -- statements of a session run in sequence */
import type {SoakKind} from './soak-kind.ts';
import {soakKinds} from './soak-kinds.ts';
import type {SoakTalk} from './soak-talk.ts';

/** Operations of a connection before its client pauses. */
const operationCount = 20;

/** Milliseconds between two operations. */
const pausesMs = {least: 2, most: 20};

/** Writes one or two items in a transaction and commits it at once. */
const runCommit = async (talk: SoakTalk) => {
	let state = await talk.send('BEGIN');
	for (let count = talk.pick(1, 3); count > 0 && state === 'T'; count--) {
		state = await talk.send(talk.createWrite());
	}

	if (state === 'T') {
		await talk.send('COMMIT');
	} else if (state === 'E') {
		await talk.send('ROLLBACK');
	}
};

/** Sends a transaction in a packet, so that its COMMIT is on its way at once. */
const runCommitInPacket = async (talk: SoakTalk) => {
	const state = await talk.send('BEGIN', talk.createWrite(), 'COMMIT');
	if (state === 'T' || state === 'E') {
		await talk.send('ROLLBACK');
	}
};

const repeat = (run: (talk: SoakTalk) => Promise<void>) => async (talk: SoakTalk) => {
	for (let count = operationCount; count > 0 && !talk.isOver(); count--) {
		await run(talk);
		await talk.pause(pausesMs.least, pausesMs.most);
	}

	await talk.pause(0, 100);
};

/** Sets values at any place of a transaction, also behind its last statement. */
const runTransactionWithValues = async (talk: SoakTalk) => {
	let state = await talk.send('BEGIN');
	for (let count = talk.pick(1, 6); count > 0 && state === 'T'; count--) {
		state = await talk.send(talk.pick(0, 2) === 0 ? `SET colour ${talk.pick(0, 9)}` : talk.createWrite());
	}

	if (state === 'T' || state === 'E') {
		await talk.send(talk.pick(0, 4) === 0 ? 'ROLLBACK' : 'COMMIT');
	}
};

const kind = {key: 'good', isReadLate: false};

/** Kinds of clients of a soak of failovers: those of all soaks, and others that keep COMMITs on their way and read what was written last. */
export const failoverKinds: readonly SoakKind[] = [
	...soakKinds,
	{
		...kind, name: 'commits on a primary route', database: 'latest', runOperation: repeat(runCommit),
	},
	{
		...kind, name: 'commits in a packet on a primary route', database: 'latest', runOperation: repeat(runCommitInPacket),
	},
	{
		...kind, name: 'commits on a bounded route', database: 'old', runOperation: repeat(runCommit),
	},
	{
		...kind, name: 'commits in a packet on a route of own writes', database: 'own', key: 'other', runOperation: repeat(runCommitInPacket),
	},
	{
		...kind, name: 'reads on a primary route', database: 'latest', key: 'other', runOperation: repeat(async talk => {
			await talk.send(`READ ${talk.findItem()}`);
		}),
	},
	{
		...kind, name: 'reads on a bounded route', database: 'old', runOperation: repeat(async talk => {
			await talk.send(`READ ${talk.findItem()}`);
		}),
	},
	{
		...kind, name: 'a commit and a read of it on a primary route', database: 'latest', runOperation: repeat(async talk => {
			await runCommit(talk);
			await talk.send(`READ ${talk.findItem()}`);
		}),
	},
	{
		...kind, name: 'read-only transactions on a primary route', database: 'latest', runOperation: repeat(async talk => {
			const state = await talk.send('BEGIN READ', `READ ${talk.findItem()}`, 'COMMIT');
			if (state === 'T' || state === 'E') {
				await talk.send('ROLLBACK');
			}
		}),
	},
	{
		...kind, name: 'transactions that set values', database: 'latest', runOperation: repeat(runTransactionWithValues),
	},
];
