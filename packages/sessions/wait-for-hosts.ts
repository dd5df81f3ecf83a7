/* eslint-disable no-await-in-loop -- rounds run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fence} from './fence.ts';
import {findFenceRemaining} from './find-fence-remaining.ts';
import type {Failover} from './failover.ts';

/** Milliseconds between two rounds of fence requests to the hosts. */
const roundIntervalMs = 100;

/**
 * Waits until every host that may hold a lease on the old primary has acknowledged the fence, or all leases have expired.
 *
 * @returns Names of the hosts that did not acknowledge the fence, whose leases had to expire.
 */
export async function waitForHosts({row, hosts, at}: Fence, failover: Failover): Promise<readonly string[]> {
	const {group, self, now, findPeer, listRecentHosts} = failover;
	group.fence(row.epoch);
	const pending = new Map([...listRecentHosts(), ...hosts].map(host => [host.name, host]));
	pending.delete(self);
	const findRemaining = () => findFenceRemaining({at, pending: [...pending.values()]}, now().steady);
	while (findRemaining() > 0) {
		const round = Promise.all([...pending.keys()].map(async name => {
			const answer = await findPeer(name)?.fenceGroup(group.name, row.epoch);
			if (answer?.isFenced === true) {
				pending.delete(name);
			}
		}));
		await Promise.race([round, sleep(findRemaining())]);
		if (pending.size > 0) {
			await sleep(Math.min(roundIntervalMs, Math.max(0, findRemaining())));
		}
	}

	return [...pending.keys()];
}
