/* eslint-disable no-await-in-loop -- rounds follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fence} from './fence.ts';
import {findFenceRemaining} from './find-fence-remaining.ts';
import type {Failover} from './failover.ts';

/** Milliseconds between two rounds of questions to hosts. */
const roundInterval = 100;

/**
 * Waits until every host that may hold a lease has given it up, or its lease has lapsed.
 *
 * @returns Hosts that had to be waited out.
 */
export async function waitForHosts({row, hosts, at}: Fence, replacement: Failover): Promise<readonly string[]> {
	const {group, self, now, findPeer, listRecentHosts} = replacement;
	group.fence(row.epoch);
	const open = new Set([...hosts, ...listRecentHosts()].map(({name}) => name));
	open.delete(self);
	const findLeft = () => findFenceRemaining({at, open}, now());
	while (findLeft() > 0) {
		const round = Promise.all([...open].map(async name => {
			const isFenced = await findPeer(name)?.fenceGroup(group.name, row.epoch);
			if (isFenced === true) {
				open.delete(name);
			}
		}));
		await Promise.race([round, sleep(findLeft())]);
		if (open.size > 0) {
			await sleep(Math.min(roundInterval, Math.max(0, findLeft())));
		}
	}

	return [...open];
}
