import {expect} from 'chai';
import {findMostDone} from './find-most-done.ts';
import type {ScenarioContext} from './scenario-context.ts';
import {sendCall} from './send-call.ts';
import type {Step} from './step.ts';

/**
 * Sends a burst of reads through all hosts at once and checks how many are done.
 *
 * @throws {Error} If fewer reads than expected are done, or the bursts of the key exceed the limits of its workspace.
 */
export async function runBurst(context: ScenarioContext, burst: NonNullable<Step['burst']>): Promise<void> {
	const {hosts} = context.cluster;
	const before = context.bursts.get(burst.key) ?? {startedAt: performance.now(), done: 0};
	const answered = await Promise.all(Array.from({length: burst.count}, async (_, index) => sendCall(context, {
		host: hosts[index % hosts.length] ?? '', key: burst.key, read: burst.read, statements: burst.statements, times: 1, stream: false,
	})));
	const done = answered.filter(({response}) => response.answer.case === 'done').length;
	const total = before.done + done;
	const elapsed = performance.now() - before.startedAt;
	context.bursts.set(burst.key, {...before, done: total});
	expect(done, 'reads done in this burst').to.be.at.least(burst.least);
	expect(total, `reads done in all bursts of the key within ${Math.round(elapsed)} ms`).to.be.at.most(findMostDone(burst.limits, elapsed));
}
