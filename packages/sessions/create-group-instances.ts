import type {LogPoint} from '@sapphirefall/decisions';
import {createInstanceRuntime} from './create-instance-runtime.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isProven} from './is-proven.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenConnection} from './open-connection.ts';
import {rankReaders} from './rank-readers.ts';
import type {ReadCandidate} from './read-candidate.ts';

type Options = {
	/** Availability zone of this host. */
	readonly zone: string;
	readonly openConnection: OpenConnection;
	readonly gateways: Gateways;
	/** Returns the store's row about the primary; undefined if it is not known. */
	readonly findRow: () => Pick<GroupRow, 'primary' | 'successor'> | undefined;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** The instances of a group, as this host uses them. */
type GroupInstances = {
	/** Applies the platform's list of instances, and the limit of this host's connections to each of them. */
	readonly update: (listed: readonly ListedInstance[], limit: number) => void;
	/** Since when the platform has not listed an instance, in milliseconds of the steady clock; undefined if it is listed. */
	readonly missingSince: (id: string) => number | undefined;
	readonly find: (id: string) => InstanceRuntime | undefined;
	readonly list: () => readonly InstanceRuntime[];
	/** Lists the instances that may serve a read, best first; `required` is the position that their logs must have reached. */
	readonly listReaders: (required: LogPoint) => readonly InstanceRuntime[];
	/** Drops instances that stay unlisted, except the primary, and closes surplus connections. */
	readonly step: () => void;
};

/** Milliseconds between two reads that try an instance which is not known to answer. */
const trialIntervalMs = 250;

/** Time after which an instance that is no longer listed is dropped; the platform may have lost its entry by mistake. */
const missingGracePeriodMs = 2500;

/** Time for which an idle connection is kept to an instance whose gateways are other hosts. */
const nonGatewayIdleTimeoutMs = 2000;

/** Creates the instances of a group; there are none until the platform lists them. */
export function createGroupInstances({
	zone, openConnection, gateways, findRow, now,
}: Options): GroupInstances {
	const instances = new Map<string, InstanceRuntime>();
	/** Instances that the platform no longer lists, and since when, in milliseconds of the steady clock. */
	const missing = new Map<string, number>();
	/** When a read last tried an instance that was not known to answer, in milliseconds of the steady clock. */
	let triedAt = Number.NEGATIVE_INFINITY;

	/** Drops instances that stayed unlisted for the grace period; the primary is kept until it is replaced. */
	const dropMissing = () => {
		for (const [id, since] of missing) {
			if (now() - since > missingGracePeriodMs && findRow()?.primary !== id) {
				missing.delete(id);
				instances.get(id)?.pool.close();
				instances.delete(id);
			}
		}
	};

	/** Closes idle connections to instances of which this host is no gateway; they were opened to query a status. */
	const closeNonGatewayConnections = () => {
		for (const instance of instances.values()) {
			if (!gateways.list(instance.listed(), undefined).includes(gateways.self)) {
				instance.pool.closeIdle(now() - nonGatewayIdleTimeoutMs);
			}
		}
	};

	const createCandidate = (instance: InstanceRuntime): ReadCandidate => {
		const {busy, waiting, limit} = instance.pool.readLoad();
		const {id, zone: instanceZone} = instance.listed();
		return {
			id,
			isSameZone: instanceZone === zone,
			isPrimary: id === findRow()?.primary,
			health: instance.health(),
			load: (busy + waiting) / Math.max(1, limit),
		};
	};

	return {
		update(listed, limit) {
			for (const entry of listed) {
				const known = instances.get(entry.id);
				if (known === undefined) {
					instances.set(entry.id, createInstanceRuntime(entry, {
						openConnection, gateways, limit, now,
					}));
				} else {
					known.update(entry);
					known.pool.setLimit(limit);
				}
			}

			const ids = new Set(listed.map(({id}) => id));
			for (const id of ids) {
				missing.delete(id);
			}

			for (const id of instances.keys()) {
				if (!ids.has(id) && !missing.has(id)) {
					missing.set(id, now());
				}
			}
		},
		missingSince: id => missing.get(id),
		find: id => instances.get(id),
		list: () => [...instances.values()],
		listReaders(required) {
			const candidates = [...instances.values()]
				.filter(instance => !instance.listed().isDeparting)
				.map(instance => createCandidate(instance));
			const ranked = rankReaders(candidates, {required, isTrialDue: now() - triedAt >= trialIntervalMs, now: now()});
			const [first] = ranked;
			if (first !== undefined && !isProven(first)) {
				triedAt = now();
			}

			return ranked
				.map(({id}) => instances.get(id))
				.filter(instance => instance !== undefined);
		},
		step() {
			dropMissing();
			closeNonGatewayConnections();
		},
	};
}
