import {rankHosts} from './rank-hosts.ts';
import type {GroupState} from './group-state.ts';
import type {Group} from './group.ts';
import type {Host} from './host.ts';

/**
 * Assigns this host's role as a watcher of a group, if it has one.
 *
 * A group has one watcher in each zone that has an instance of the group: the live host that ranks first there.
 *
 * @param group The group.
 * @param options This host, the live and the listed hosts, the present role, and monotonic milliseconds.
 * @returns The role, or `undefined` if this host does not watch the group.
 */
export function assignWatch(
	group: Group,
	options: {
		readonly self: string;
		readonly live: readonly Host[];
		/** All hosts that the platform lists, live or not. */
		readonly listed: readonly Host[];
		readonly present: GroupState['watch'];
		readonly now: number;
	},
): GroupState['watch'] {
	const {
		self, live, listed, present, now,
	} = options;
	const resource = `watch/${group.database}`;
	const zones = [...new Set(group.instances.map(({zone}) => zone))];
	const watchers = zones
		.map(zone => rankHosts(resource, live.filter(host => host.zone === zone).map(({id}) => id))[0])
		.filter(id => id !== undefined);
	if (!watchers.includes(self)) {
		return undefined;
	}

	const ranked = rankHosts(resource, watchers);
	return {
		rank: ranked.indexOf(self),
		needsConfirmation: new Set(listed.map(({zone}) => zone)).size > 1,
		others: ranked.filter(id => id !== self),
		since: present?.since ?? now,
	};
}
