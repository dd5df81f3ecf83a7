/* eslint-disable no-await-in-loop -- rounds run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import type {Failover} from './failover.ts';
import type {Fence} from './fence.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {InstanceStatus} from './instance-status.ts';
import {readStatus} from './read-status.ts';
import {readStatuses} from './read-statuses.ts';
import {statusTimeoutMs} from './status-timeout-ms.ts';

/** Milliseconds between two rounds of status requests to the instances. */
const roundIntervalMs = 100;

/** Milliseconds within which a replica may catch up with the old primary. */
const catchUpLimitMs = 1500;

/**
 * Waits until a replica has the whole log of the old primary, if that answers; the fence ensures that the log no longer grows.
 * An old primary that is too busy to tell its status is asked again.
 *
 * @returns The end of the old primary's log; undefined if it did not tell it, or is no primary.
 */
export async function waitForCatchUp({row: {primary}}: Fence, failover: Failover): Promise<LogPoint | undefined> {
	const {group, now} = failover;
	const oldPrimary = group.findInstance(primary);
	const until = now().steady + catchUpLimitMs;
	const status = oldPrimary && await readOldStatus(oldPrimary, {failover, until});
	if (status?.role !== 'primary') {
		return undefined;
	}

	while (now().steady < until) {
		const answers = await readStatuses(failover, {});
		const isCaughtUp = answers.some(answer => answer.id !== primary && !answer.isDeparting && !answer.isEvacuated && comparePoints(answer.status.received, status.received) >= 0);
		if (isCaughtUp) {
			break;
		}

		await sleep(roundIntervalMs);
	}

	return status.received;
}

/** Reads the status of the old primary; undefined if it is silent, or refuses to tell it until a moment of the steady clock in milliseconds. */
async function readOldStatus(oldPrimary: InstanceRuntime, {failover: {workspace, now}, until}: {readonly failover: Failover; readonly until: number}): Promise<InstanceStatus | undefined> {
	while (now().steady < until) {
		const status = await readStatus(oldPrimary, {workspace, timeout: statusTimeoutMs});
		const isSilent = oldPrimary.health().unansweredSince !== undefined;
		if (status !== undefined || isSilent) {
			return status;
		}

		await sleep(roundIntervalMs);
	}

	return undefined;
}
