import {setTimeout as sleep} from 'node:timers/promises';
import {sendWrite} from './send-write.ts';
import type {Stage} from './stage.ts';
import type {Step} from './step.ts';
import type {TalliedWrite} from './tallied-write.ts';

/** Sends the writes of a step through hosts in turn, one after the other in time without waiting for answers. */
export async function sendWrites(
	stage: Stage,
	{writes, onDone}: {readonly writes: NonNullable<Step['writes']>; readonly onDone: () => void},
): Promise<readonly TalliedWrite[]> {
	const hosts = writes.hosts ?? stage.cluster.hosts;
	return Promise.all(Array.from({length: writes.count}, async (_, index) => {
		await sleep(index * writes.every);
		const id = `${writes.name}-${index}`;
		const write = await sendWrite(stage, {
			id, host: hosts[index % hosts.length] ?? '', key: writes.key, deadline: writes.deadline,
		});
		if (write.answer === 'done') {
			onDone();
		}

		return write;
	}));
}
