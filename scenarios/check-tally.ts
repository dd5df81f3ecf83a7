import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {listRows} from '../stand-ins/cluster/list-rows.ts';
import {sendWrite} from './send-write.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';
import type {WriteOutcome} from './write-outcome.ts';

type Tally = NonNullable<Step['tally']>;

/** Longest time until the database can be read again after a fault, in milliseconds. */
const countTimeoutMs = 10_000;

/** Deadline of the retry of a write whose outcome is unknown, in milliseconds. */
const repeatDeadlineMs = 8000;

/** Wait before rows are counted, in milliseconds, so that a refused write that takes effect late is found. */
const lateWriteWaitMs = 500;

const retryDelayMs = 50;

/** Allowed numbers of rows of a write, by its answer. */
const allowedRowCounts: Readonly<Record<WriteOutcome['answer'], readonly number[]>> = {
	done: [1], notRun: [0], unknown: [0, 1],
};

/**
 * Compares the rows in the database with the answers to the writes of a step, retries the writes with an unknown outcome
 * under their idempotency keys, and compares again.
 */
export async function checkTally(context: ScenarioContext, tally: Tally): Promise<void> {
	const started = context.writes.get(tally.name);
	expect(started, `no writes named ${tally.name} were started`).to.not.equal(undefined);
	const {writes, key} = await started!;
	context.transcript.add(`tally ${tally.name}: ${describeTally(writes)}`);
	await sleep(lateWriteWaitMs);
	checkRows(writes, await countRows(context, {tally, key}));
	const failed = writes.filter(({answer}) => answer !== 'done');
	expect(writes.length - failed.length, `number of writes done; the others: ${JSON.stringify(failed)}`).to.be.at.least(tally.done);
	expect(failed.length, 'number of writes that failed').to.be.at.least(tally.failed);

	const settled = await Promise.all(writes.map(async write => write.answer === 'unknown'
		? sendWrite(context, {
			id: write.id, host: tally.host, key, deadline: repeatDeadlineMs,
		})
		: write));
	expect(settled.filter(({answer}) => answer === 'unknown'), 'writes that are still unknown after a retry').to.deep.equal([]);
	checkRows(settled, await countRows(context, {tally, key}));
}

function describeTally(writes: readonly WriteOutcome[]): string {
	return (['done', 'notRun', 'unknown'] as const)
		.map(kind => `${kind} ${writes.filter(({answer}) => answer === kind).length}`)
		.join(', ');
}

function checkRows(writes: readonly WriteOutcome[], rows: ReadonlyMap<string, number>): void {
	const wrong = writes
		.map(write => ({...write, rows: rows.get(write.id) ?? 0}))
		.filter(({answer, rows}) => !allowedRowCounts[answer].includes(rows));
	expect(wrong, 'writes whose answer does not match their number of rows').to.deep.equal([]);
}

/** Counts the rows of each write in the latest state; retries until the database can be read. */
async function countRows(
	{cluster, scenario}: ScenarioContext,
	{tally, key}: {readonly tally: Tally; readonly key: string},
): Promise<ReadonlyMap<string, number>> {
	const deadline = performance.now() + countTimeoutMs;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- attempts run one after the other
		const response = await cluster.caller(tally.host, key).execute({
			database: scenario.cluster.databases[0] ?? '',
			statements: [createStatement('SELECT id, count(*) FROM entry GROUP BY id')],
			kind: {case: 'read', value: {freshness: 'latest', kind: ''}},
		});
		if (response.answer.case === 'done') {
			return new Map(listRows(response).map(([id, count]) => [String(id), Number(count)]));
		}

		expect(performance.now(), 'database not readable before the time-out').to.be.below(deadline);
		await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
	}
}
