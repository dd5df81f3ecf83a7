/* eslint-disable no-await-in-loop -- rounds follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {comparePoints} from '@sapphirefall/decisions';
import {chooseSuccessor} from './choose-successor.ts';
import type {Fence} from './fence.ts';
import {findElapsed} from './find-elapsed.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceStatus} from './instance-status.ts';
import {commitGroupRow} from './commit-group-row.ts';
import {readStatus} from './read-status.ts';
import type {Failover} from './failover.ts';
import type {Versioned} from './versioned.ts';

/** Milliseconds between two rounds of questions to instances. */
const roundInterval = 100;

/** Milliseconds within which an instance must answer for its status. */
const statusTimeout = 400;

/** Milliseconds for which a successor may still receive what the old primary has, when that is known. */
const catchUpLimit = 1500;

/** Milliseconds after which a replacement is left to another host. */
const replacementLimit = 11_000;

/** The primary that leads now. */
type Promoted = {
	readonly row: Versioned<GroupRow>;
	readonly instance: string;
	readonly status: InstanceStatus;
};

/** Promotes the instance that is furthest ahead, and waits until it says that it leads. */
export async function executePromotion(fence: Fence, replacement: Failover, step: (line: string, fields: Readonly<Record<string, unknown>>) => void): Promise<Promoted | undefined> {
	const {group, now, orderPromotion, self} = replacement;
	let {row} = fence;
	if (replacement.reason === 'departing' || replacement.reason === 'missing') {
		await waitForCatchUp(fence, replacement);
	}

	let ordered: {readonly instance: string; readonly at: number} | undefined;
	while (findElapsed(fence.at, now()) < replacementLimit) {
		// Once a successor is named the old primary, which may be silent, has no say any more.
		const answers = await readStatuses(replacement, row.successor === '' ? undefined : fence.row.primary);
		const leader = findLeader(answers, row, replacement);
		if (leader !== undefined) {
			return {row, instance: leader.id, status: leader.status};
		}

		const candidates = answers.filter(({id}) => id !== fence.row.primary);
		const named = row.successor;
		const successor = candidates.find(({id}) => id === named) ?? chooseSuccessor(candidates);
		if (successor === undefined || (ordered?.instance === successor.id && now().steady - ordered.at < catchUpLimit)) {
			await sleep(roundInterval);
			continue;
		}

		if (row.successor !== successor.id) {
			const outcome = await commitGroupRow(row, {...row, successor: successor.id}, replacement);
			if (outcome === undefined) {
				return undefined;
			}

			row = outcome;
		}

		const taken = await orderPromotion({
			group: group.name, instance: successor.id, holder: self, token: row.token,
		});
		step('A promotion is ordered.', {
			successor: successor.id, term: successor.status.term, position: String(successor.status.received.position), taken,
		});
		ordered = {instance: successor.id, at: now().steady};
		if (taken === 'refused') {
			row = {...row, successor: ''};
			ordered = undefined;
			await sleep(roundInterval);
		}
	}

	return undefined;
}

type Answered = {readonly id: string; readonly status: InstanceStatus; readonly isDeparting: boolean};

async function readStatuses({group, workspace}: Failover, excluded?: string): Promise<readonly Answered[]> {
	const instances = group.listInstances().filter(instance => instance.listed().id !== excluded);
	const answers = await Promise.all(instances.map(async instance => {
		const {id, isDeparting} = instance.listed();
		const status = await readStatus(instance, {workspace, timeout: statusTimeout});
		return status && {id, status, isDeparting};
	}));
	return answers.filter(answer => answer !== undefined);
}

/**
 * Finds an instance that leads already.
 *
 * Once a successor has been named, its promotion may have been ordered, so no other may lead. Before that the old
 * primary may go on if it was only silent, also as a new instance that took over its log.
 */
function findLeader(answers: readonly Answered[], row: GroupRow, {reason}: Failover): Answered | undefined {
	const newestTerm = Math.max(...answers.map(({status}) => status.term));
	const leader = answers.find(({status}) => status.role === 'primary' && status.term === newestTerm);
	if (row.successor !== '') {
		return leader?.id === row.successor ? leader : undefined;
	}

	const mayStay = (reason === 'silent' || reason === 'abandoned') && leader?.isDeparting === false;
	return mayStay ? leader : undefined;
}

/** Lets the others receive what the old primary still has, if that answers; nothing is written there any more. */
async function waitForCatchUp(fence: Fence, replacement: Failover): Promise<void> {
	const {group, workspace, now} = replacement;
	const old = group.findInstance(fence.row.primary);
	const status = old && await readStatus(old, {workspace, timeout: statusTimeout});
	if (status?.role !== 'primary') {
		return;
	}

	const until = now().steady + catchUpLimit;
	while (now().steady < until) {
		const answers = await readStatuses(replacement);
		const isCaughtUp = answers.some(answer => answer.id !== fence.row.primary && !answer.isDeparting && comparePoints(answer.status.received, status.received) >= 0);
		if (isCaughtUp) {
			return;
		}

		await sleep(roundInterval);
	}
}
