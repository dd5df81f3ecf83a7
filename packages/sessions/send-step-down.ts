/* eslint-disable no-await-in-loop -- attempts follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Failover} from './failover.ts';

/** Milliseconds within which an instance must answer. */
const statusTimeout = 400;

/** Milliseconds for which an old primary that cannot be reached is tried. */
const stepDownLimit = 11_000;

/** Tells a replaced primary to step down, as soon as it can be reached. */
export async function sendStepDown(id: string, term: number, {group, workspace, now, log}: Failover): Promise<void> {
	const until = now().steady + stepDownLimit;
	while (now().steady < until) {
		const instance = group.findInstance(id);
		const acquired = await instance?.pool.acquire({workspace, priority: 0, timeout: statusTimeout});
		if (instance !== undefined && acquired?.kind === 'acquired') {
			const answer = await instance.send(acquired.link, {kind: 'stepDown', term}, statusTimeout);
			instance.pool.release(acquired.link, answer.kind === 'answered' && answer.state === 'idle');
			if (answer.kind === 'answered') {
				log.info({group: group.name, instance: id, term}, 'failover: The old primary is told to step down.');
				return;
			}
		}

		await sleep(statusTimeout);
	}
}
