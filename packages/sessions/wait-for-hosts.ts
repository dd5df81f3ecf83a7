/* eslint-disable no-await-in-loop -- rounds run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import type {FenceAnswer} from './fence-answer.ts';
import type {Fence} from './fence.ts';
import {findFenceRemaining} from './find-fence-remaining.ts';
import type {Failover} from './failover.ts';

/** The hosts that may have held a lease on a fenced primary, once none of them uses it any more. */
type ReleasedHosts = {
	/** Answers of the hosts that acknowledged the fence. */
	readonly answers: readonly FenceAnswer[];
	/** Names of the hosts that did not acknowledge the fence, whose leases had to expire. */
	readonly silent: readonly string[];
};

/** Milliseconds between two rounds of fence requests to the hosts. */
const roundIntervalMs = 100;

/**
 * Milliseconds for which hosts are waited for, whose leases have expired, where no acknowledged commit may be lost: they tell
 * what they have acknowledged, also to a host that resumes a failover.
 */
const answerLimitMs = 1000;

/** Waits until every host that may hold a lease on the old primary has acknowledged the fence, or all leases have expired and there was time to answer. */
export async function waitForHosts({row, hosts, at}: Fence, failover: Failover): Promise<ReleasedHosts> {
	const {
		group, self, now, findPeer, listRecentHosts, isSynchronous,
	} = failover;
	group.fence(row.epoch);
	const askedUntil = now().steady + (isSynchronous() ? answerLimitMs : 0);
	const pending = new Map([...listRecentHosts(), ...hosts].map(host => [host.name, host]));
	pending.delete(self);
	const answers: FenceAnswer[] = [];
	const findRemaining = () => pending.size === 0
		? 0
		: Math.max(findFenceRemaining({at, pending: [...pending.values()]}, now().steady), askedUntil - now().steady);
	while (findRemaining() > 0) {
		const round = Promise.all([...pending.keys()].map(async name => {
			const answer = await findPeer(name)?.fenceGroup(group.name, row.epoch);
			if (answer?.isFenced === true) {
				pending.delete(name);
				answers.push(answer);
			}
		}));
		await Promise.race([round, sleep(findRemaining())]);
		if (pending.size > 0) {
			await sleep(Math.min(roundIntervalMs, Math.max(0, findRemaining())));
		}
	}

	return {answers, silent: [...pending.keys()]};
}
