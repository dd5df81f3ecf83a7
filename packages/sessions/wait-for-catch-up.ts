/* eslint-disable no-await-in-loop -- rounds run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {comparePoints} from '@sapphirefall/decisions';
import type {Failover} from './failover.ts';
import type {Fence} from './fence.ts';
import {readStatus} from './read-status.ts';
import {readStatuses} from './read-statuses.ts';
import {statusTimeoutMs} from './status-timeout-ms.ts';

/** Milliseconds between two rounds of status requests to the instances. */
const roundIntervalMs = 100;

/** Milliseconds within which a replica may catch up with the old primary. */
const catchUpLimitMs = 1500;

/** Waits until a replica has the whole log of the old primary, if that answers; the fence ensures that the log no longer grows. */
export async function waitForCatchUp({row: {primary}}: Fence, failover: Failover): Promise<void> {
	const {group, workspace, now} = failover;
	const oldPrimary = group.findInstance(primary);
	const status = oldPrimary && await readStatus(oldPrimary, {workspace, timeout: statusTimeoutMs});
	if (status?.role !== 'primary') {
		return;
	}

	const until = now().steady + catchUpLimitMs;
	while (now().steady < until) {
		const answers = await readStatuses(failover, {});
		const isCaughtUp = answers.some(answer => answer.id !== primary && !answer.isDeparting && comparePoints(answer.status.received, status.received) >= 0);
		if (isCaughtUp) {
			return;
		}

		await sleep(roundIntervalMs);
	}
}
