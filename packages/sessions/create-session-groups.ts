import {createSessionGroup} from './create-session-group.ts';
import type {createStoreCache} from './create-store-cache.ts';
import {findConnectionLimit} from './pools/find-connection-limit.ts';
import type {Instant} from './instant.ts';
import type {PrimaryPosition} from './primary-position.ts';
import type {SessionGroup} from './session-group.ts';

type Options = Parameters<typeof createSessionGroup>[1] & {
	/** What this host knows from the store. */
	readonly cache: Pick<ReturnType<typeof createStoreCache>, 'findConfiguration' | 'findFleet' | 'listInstances' | 'findConfirmedAt'>;
	/** Returns the number of hosts that connect to an instance. */
	readonly countGateways: () => number;
	/** Whether this host is registered in the store. */
	readonly isRegistered: () => boolean;
};

/** The groups of instances that the configuration has named. */
type SessionGroups = {
	readonly findGroup: (name: string) => SessionGroup | undefined;
	readonly listGroups: () => readonly SessionGroup[];
	/** Applies what is known from the store now, and takes groups into use that are new. */
	readonly update: () => void;
	/** Lists the newest known positions of the primaries' logs. */
	readonly listPositions: () => readonly PrimaryPosition[];
	/** Records positions that another host reported; their ages count from the time `from`. */
	readonly recordPositions: (positions: readonly PrimaryPosition[], from: Instant) => void;
};

/** Creates the groups of a host, none at first. */
export function createSessionGroups({cache, countGateways, isRegistered, ...options}: Options): SessionGroups {
	const groups = new Map<string, SessionGroup>();
	return {
		findGroup: name => groups.get(name),
		listGroups: () => [...groups.values()],
		update() {
			for (const [name, cap] of cache.findConfiguration()?.configuration.connectionLimits ?? []) {
				const group = groups.get(name) ?? createSessionGroup(name, options);
				groups.set(name, group);
				group.updateInstances(cache.listInstances().filter(entry => entry.group === name), findConnectionLimit(cap, countGateways()));
				group.setRegistered(isRegistered());

				const confirmedAt = cache.findConfirmedAt('fleet');
				if (confirmedAt !== undefined) {
					group.updateRow(cache.findFleet()?.groups.get(name), confirmedAt);
				}
			}
		},
		listPositions: () => [...groups.values()].map(group => group.findNewestPosition()).filter(position => position !== undefined),
		recordPositions(positions, from) {
			for (const position of positions) {
				groups.get(position.group)?.recordPosition(position, from);
			}
		},
	};
}
