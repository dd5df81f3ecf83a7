/* eslint-disable no-await-in-loop -- statements of a session run in sequence */
import type {SoakKind} from './soak-kind.ts';
import type {SoakTalk} from './soak-talk.ts';

const maxStatementCount = 12;
const maxPauseMs = 400;
const defaults = {database: 'latest', key: 'good', isReadLate: false};

const createStatement = (talk: SoakTalk) => talk.pick(0, 3) === 0 ? `READ ${talk.findItem()}` : talk.createWrite();

const endTransaction = async (talk: SoakTalk, state: string) => {
	if (state === 'T') {
		await talk.send(talk.pick(0, 4) === 0 ? 'ROLLBACK' : 'COMMIT');
	} else if (state === 'E') {
		await talk.send(talk.pick(0, 4) === 0 ? 'COMMIT' : 'ROLLBACK');
	}
};

type TransactionOptions = {
	readonly begin?: string;
	readonly count: number;
	readonly maxPause: number;
	readonly createText?: (talk: SoakTalk) => string;
};

const runTransaction = async (talk: SoakTalk, {begin = 'BEGIN', count, maxPause, createText = createStatement}: TransactionOptions) => {
	let state = await talk.send(begin);
	for (let sent = 0; sent < count && state === 'T' && !talk.isOver(); sent++) {
		await talk.pause(0, maxPause);
		state = await talk.send(createText(talk));
	}

	await endTransaction(talk, state);
	await talk.pause(0, maxPause);
};

const runShortTransaction = async (talk: SoakTalk) => runTransaction(talk, {count: talk.pick(0, maxStatementCount + 1), maxPause: maxPauseMs});

const runPrepared = async (talk: SoakTalk) => {
	await talk.send(`SET colour ${talk.pick(0, 9)}`);
	await talk.send('PREPARE put WRITE shape');
	await talk.send('PREPARE get READ shape');
	for (let count = talk.pick(1, maxStatementCount); count > 0 && !talk.isOver(); count--) {
		await talk.send(talk.pick(0, 2) === 0 ? `EXECUTE get ${talk.findItem()}` : `EXECUTE put ${talk.createItem()}`);
		await talk.pause(0, maxPauseMs);
	}

	const state = await talk.send('BEGIN');
	await endTransaction(talk, state === 'T' ? await talk.send(`EXECUTE put ${talk.createItem()}`) : state);
	await talk.send('CLOSE put', 'CLOSE get');
};

/** Kinds of clients; a soak has the same number of each. */
export const soakKinds: readonly SoakKind[] = [
	{
		...defaults, name: 'single writes', async runOperation(talk) {
			await talk.send(talk.createWrite());
			await talk.pause(0, 60);
		},
	},
	{
		...defaults, name: 'single reads', async runOperation(talk) {
			await talk.send(`READ ${talk.findItem()}`);
			await talk.pause(0, 60);
		},
	},
	{
		...defaults, name: 'single reads that accept older data', database: 'old', async runOperation(talk) {
			await talk.send(`READ ${talk.findItem()}`);
			await talk.pause(0, 200);
		},
	},
	{
		...defaults, name: 'single statements with their own writes', database: 'own', async runOperation(talk) {
			await talk.send(createStatement(talk));
			await talk.pause(0, 200);
		},
	},
	{...defaults, name: 'transactions with pauses', runOperation: runShortTransaction},
	{
		...defaults, name: 'transactions without pauses', async runOperation(talk) {
			await runTransaction(talk, {count: talk.pick(1, maxStatementCount + 1), maxPause: 1});
		},
	},
	{
		...defaults, name: 'an endless transaction without pauses', async runOperation(talk) {
			await runTransaction(talk, {count: Number.POSITIVE_INFINITY, maxPause: 1});
		},
	},
	{
		...defaults, name: 'an endless transaction with pauses', async runOperation(talk) {
			await runTransaction(talk, {count: Number.POSITIVE_INFINITY, maxPause: maxPauseMs});
		},
	},
	{
		...defaults, name: 'transactions that only read', database: 'old', async runOperation(talk) {
			await runTransaction(talk, {
				begin: 'BEGIN READ', count: talk.pick(1, maxStatementCount + 1), maxPause: maxPauseMs, createText: () => `READ ${talk.findItem()}`,
			});
		},
	},
	{...defaults, name: 'prepared statements', runOperation: runPrepared},
	{
		...defaults, name: 'several single statements in a packet', async runOperation(talk) {
			await talk.send(...Array.from({length: talk.pick(2, 4)}, () => createStatement(talk)));
			await talk.pause(0, 200);
		},
	},
	{
		...defaults, name: 'a transaction in a packet', key: 'other', async runOperation(talk) {
			const state = await talk.send('BEGIN', createStatement(talk), talk.pick(0, 4) === 0 ? 'ROLLBACK' : 'COMMIT');
			await endTransaction(talk, state);
			await talk.pause(0, maxPauseMs);
		},
	},
	{
		...defaults, name: 'a caller that reads late', key: 'other', isReadLate: true, async runOperation(talk) {
			await talk.sendAndReadLate(talk.pick(0, 600), 'READ soak-big', ...talk.pick(0, 2) === 0 ? [] : [createStatement(talk)]);
			await talk.pause(0, maxPauseMs);
		},
	},
	{
		...defaults, name: 'a connection that is mostly idle', key: 'other', database: 'own', async runOperation(talk) {
			await talk.send(createStatement(talk));
			await talk.pause(300, 3000);
		},
	},
	{
		...defaults, name: 'transactions that stand idle for long', key: 'other', async runOperation(talk) {
			await runTransaction(talk, {count: 3, maxPause: 3600});
		},
	},
	{
		...defaults, name: 'a key that comes and goes', key: 'third', async runOperation(talk) {
			await talk.send(createStatement(talk));
			await runTransaction(talk, {count: 2, maxPause: 100});
		},
	},
	{
		...defaults, name: 'a database that comes and goes', database: 'guest', key: 'other', async runOperation(talk) {
			await talk.send(createStatement(talk));
			await runTransaction(talk, {count: 2, maxPause: 100});
		},
	},
];
