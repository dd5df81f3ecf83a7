import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {WriteOutcome} from './write-outcome.ts';

type Options = {
	/** Value of the row that the write inserts, and idempotency key of the write. */
	readonly id: string;
	readonly host: string;
	readonly key: string;
	/** Deadline of the request, in milliseconds. */
	readonly deadline: number;
};

/** Time past a request's deadline after which its caller gives up, in milliseconds. */
const callerMarginMs = 1500;

/** Sends a write that inserts one row into the table `entry`; a call that fails or times out counts as unknown. */
export async function sendWrite(
	{cluster, scenario}: ScenarioContext,
	{
		id, host, key, deadline,
	}: Options,
): Promise<WriteOutcome> {
	const sentAt = performance.now();
	const describe = (reason: string) => `${host} ${Math.round(performance.now() - sentAt)} ms ${reason}`;
	try {
		const response = await cluster.caller(host, key).execute({
			requestId: id,
			database: scenario.cluster.databases[0] ?? '',
			statements: [createStatement('INSERT INTO entry VALUES (?)', [id])],
			kind: {case: 'write', value: {idempotencyKey: id, repeatable: false}},
			deadlineMs: deadline,
		}, {timeoutMs: deadline + callerMarginMs});
		const reason = response.answer.case === 'done' ? '' : response.answer.value?.reason ?? '';
		return {id, answer: response.answer.case ?? 'unknown', detail: describe(reason)};
	} catch (error) {
		return {id, answer: 'unknown', detail: describe((error as Error).message)};
	}
}
