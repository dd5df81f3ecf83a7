import {setTimeout as sleep} from 'node:timers/promises';
import {sendWrite} from './send-write.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';
import type {WriteOutcome} from './write-outcome.ts';

/** Sends the writes of a step through the hosts in turn, one every `every` milliseconds, without waiting for answers. */
export async function sendWrites(
	context: ScenarioContext,
	{writes, onDone}: {readonly writes: NonNullable<Step['writes']>; readonly onDone: () => void},
): Promise<readonly WriteOutcome[]> {
	const hosts = writes.hosts ?? context.cluster.hosts;
	return Promise.all(Array.from({length: writes.count}, async (_, index) => {
		await sleep(index * writes.every);
		const id = `${writes.name}-${index}`;
		const write = await sendWrite(context, {
			id, host: hosts[index % hosts.length] ?? '', key: writes.key, deadline: writes.deadline,
		});
		if (write.answer === 'done') {
			onDone();
		}

		return write;
	}));
}
