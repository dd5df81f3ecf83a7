import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {listRows} from '../stand-ins/cluster/list-rows.ts';
import {sendWrite} from './send-write.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';
import type {WriteOutcome} from './write-outcome.ts';

type Tally = NonNullable<Step['tally']>;

/** Milliseconds within which the database can be counted again after a fault. */
const countTimeout = 10_000;

/** Milliseconds that a repeat of an unknown write may take. */
const repeatDeadline = 8000;

/** Milliseconds for which nothing of a refused write may turn up later. */
const settleSpan = 500;

const repeatDelay = 50;

/** Rows that a write may leave, by its answer. */
const allowed: Readonly<Record<WriteOutcome['answer'], readonly number[]>> = {
	done: [1], notRun: [0], unknown: [0, 1],
};

/**
 * Counts what the writes of a step left in the database against their answers, settles the unknown ones by
 * their keys, and counts again.
 */
export async function checkTally(context: ScenarioContext, tally: Tally): Promise<void> {
	const started = context.writes.get(tally.name);
	expect(started, `no writes named ${tally.name} run`).to.not.equal(undefined);
	const {writes, key} = await started!;
	context.transcript.add(`tally ${tally.name}: ${describeTally(writes)}`);
	await sleep(settleSpan);
	checkRows(writes, await countRows(context, {tally, key}));
	const failed = writes.filter(({answer}) => answer !== 'done');
	expect(writes.length - failed.length, `writes done beside ${JSON.stringify(failed)}`).to.be.at.least(tally.done);
	expect(failed.length, 'writes that the fault met').to.be.at.least(tally.failed);

	const settled = await Promise.all(writes.map(async write => write.answer === 'unknown'
		? sendWrite(context, {
			id: write.id, host: tally.host, key, deadline: repeatDeadline,
		})
		: write));
	expect(settled.filter(({answer}) => answer === 'unknown'), 'writes that a repeat did not settle').to.deep.equal([]);
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
		.filter(({answer, rows}) => !allowed[answer].includes(rows));
	expect(wrong, 'writes whose answer is not true').to.deep.equal([]);
}

/** Counts the rows of each write in the latest state; repeats until the database can be read. */
async function countRows(
	{cluster, scenario}: ScenarioContext,
	{tally, key}: {readonly tally: Tally; readonly key: string},
): Promise<ReadonlyMap<string, number>> {
	const deadline = performance.now() + countTimeout;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- attempts follow each other
		const response = await cluster.caller(tally.host, key).execute({
			database: scenario.cluster.databases[0] ?? '',
			statements: [createStatement('SELECT id, count(*) FROM entry GROUP BY id')],
			kind: {case: 'read', value: {freshness: 'latest', kind: ''}},
		});
		if (response.answer.case === 'done') {
			return new Map(listRows(response).map(([id, count]) => [String(id), Number(count)]));
		}

		expect(performance.now(), 'the database could not be read').to.be.below(deadline);
		await sleep(repeatDelay); // eslint-disable-line no-await-in-loop
	}
}
