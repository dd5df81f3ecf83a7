/* eslint-disable no-await-in-loop -- looks run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {readGroupRow} from './read-group-row.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds for which it is waited for a failover, and between two looks. */
const limits = {waitMs: 6000, pollMs: 3};

/**
 * Waits until a host runs a failover, or until it has just ended one.
 *
 * @returns The index of the host, or undefined if there was none for 6 s.
 */
export async function waitForHolder({store, groups, hosts}: Pick<WireDeployment, 'store' | 'groups' | 'hosts'>, {isAfter}: {readonly isAfter: boolean}): Promise<number | undefined> {
	const listHolders = () => groups.flatMap(({name}) => {
		const row = readGroupRow(store, name);
		return row?.state === 'fencing' ? [{name, holder: row.holder}] : [];
	});
	const until = performance.now() + limits.waitMs;
	let seen: ReturnType<typeof listHolders> = [];
	while (performance.now() < until) {
		const running = listHolders();
		const ended = seen.filter(({name}) => running.every(other => other.name !== name));
		const [first] = isAfter ? ended : running;
		const index = hosts.findIndex(({name}) => name === first?.holder);
		if (index !== -1) {
			return index;
		}

		seen = running;
		await sleep(limits.pollMs);
	}

	return undefined;
}
