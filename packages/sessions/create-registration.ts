/* eslint-disable no-await-in-loop -- changes run one after another */
import {findRateAllocator} from './find-rate-allocator.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HostRow} from './host-row.ts';
import {createHostChanges} from './log-copies/create-host-changes.ts';
import type {Instant} from './instant.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Registration of this host. */
	readonly own: HostRow;
	readonly store: Store;
	/** Registered hosts that have been silent for long, of those that this host monitors. */
	readonly listSilentHosts: () => readonly string[];
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Registration of this host in the store, and of others that have been silent for long. */
type Registration = {
	/** Registers this process, unless it has left. */
	readonly register: () => Promise<void>;
	/** Whether the store holds the registration of this process, not that of an earlier start. */
	readonly isRegistered: () => boolean;
	/** Applies the fleet's rows. */
	readonly updateFleet: (fleet: FleetRows) => void;
	/** Hosts that are or lately were registered; they may hold leases though their rows are deleted. */
	readonly listRecentHosts: () => readonly HostRow[];
	/** Since when no registered process of a host has ended, as far as this host can know, in milliseconds of the steady clock. */
	readonly findHostsUnchangedSince: () => number;
	/**
	 * Removes silent hosts from the store in two steps: a host that is marked as gone gets no further leases, and its row
	 * is deleted once the leases that it may still hold have expired.
	 */
	readonly removeSilentHosts: () => Promise<void>;
	/** Deletes the registration of this process, which does not register again. */
	readonly leave: () => Promise<void>;
};

/** Milliseconds for which a host that is no longer registered may still hold leases. */
const unregisteredLeaseMs = 6000;

/** Creates the registration of a host; see `Registration`. */
export function createRegistration({own, store, listSilentHosts, now, log}: Options): Registration {
	/** Hosts by name, and when each was last seen registered, in milliseconds of the steady clock. */
	const seenHosts = new Map<string, {readonly row: HostRow; readonly seenAt: number}>();
	/** Hosts that are marked as gone, and since when, in milliseconds of the steady clock. */
	const markedSince = new Map<string, number>();
	const changes = createHostChanges();
	let fleet: FleetRows | undefined;
	let hasLeft = false;
	/** Attempts to register whose outcome is open. */
	const attempts = new Set<Promise<void>>();

	const isRegistered = () => fleet?.hosts.get(own.name)?.incarnation === own.incarnation;

	const commitRegistration = async () => {
		const key = `${fleetKeys.hostPrefix}${own.name}`;
		const outcome = await store.commit({expected: new Map(), values: new Map([[key, JSON.stringify(own)]])});
		log.info({incarnation: own.incarnation, outcome: outcome.kind}, 'host: The host tried to register in the store.');
	};

	const register = async () => {
		if (hasLeft) {
			return;
		}

		const attempt = commitRegistration();
		attempts.add(attempt);
		try {
			await attempt;
		} finally {
			attempts.delete(attempt);
		}
	};

	/** Reads the stored registration of this process. An attempt on its way may write it after the fleet's rows were read. */
	const readOwnRow = async () => {
		const isRegistering = attempts.size > 0;
		await Promise.allSettled(attempts);
		const rows = isRegistering ? await readFleetRows(store) : fleet;
		const row = rows?.hosts.get(own.name);
		return row?.incarnation === own.incarnation ? row : undefined;
	};

	const removeSilentHosts = async () => {
		const at = now().steady;
		for (const name of listSilentHosts()) {
			const row = fleet?.hosts.get(name);
			if (row !== undefined) {
				await changeHost(row, {...row, isGone: true});
				markedSince.set(name, at);
			}
		}

		for (const row of isRemover() ? fleet?.goneHosts.values() ?? [] : []) {
			const markedAt = markedSince.get(row.name) ?? at;
			markedSince.set(row.name, markedAt);
			if (at - markedAt > unregisteredLeaseMs) {
				await changeHost(row, undefined);
				markedSince.delete(row.name);
			}
		}
	};

	/** Whether this host deletes the rows of gone hosts: the allocator of rate partition 0, so that only one host does. */
	const isRemover = () => findRateAllocator(fleet, 0)?.holder === own.name;

	const changeHost = async ({version, name}: Versioned<HostRow>, value: HostRow | undefined) => {
		const key = `${fleetKeys.hostPrefix}${name}`;
		const outcome = await store.commit({
			expected: new Map([[key, version]]),
			values: new Map([[key, value && JSON.stringify({...value, version: undefined})]]),
		});
		log.info({name, isDropped: value === undefined, outcome: outcome.kind}, 'host: The host tried to mark a silent host as gone in the store, or to delete its row.');
	};

	const listRecentHosts = () => [...seenHosts.values()]
		.filter(({seenAt}) => now().steady - seenAt < unregisteredLeaseMs)
		.map(({row}) => row);

	return {
		register,
		isRegistered,
		updateFleet(newer) {
			fleet = newer;
			changes.update(newer, now().steady);
			for (const row of newer.hosts.values()) {
				seenHosts.set(row.name, {row, seenAt: now().steady});
			}
		},
		listRecentHosts,
		findHostsUnchangedSince: changes.findUnchangedSince,
		removeSilentHosts,
		async leave() {
			hasLeft = true;
			const key = `${fleetKeys.hostPrefix}${own.name}`;
			const row = await readOwnRow();
			if (row !== undefined) {
				await store.commit({expected: new Map([[key, row.version]]), values: new Map([[key, undefined]])});
			}
		},
	};
}
