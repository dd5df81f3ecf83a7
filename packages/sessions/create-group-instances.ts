import type {LogPoint} from '@sapphirefall/decisions';
import {chooseInstances} from './choose-instances.ts';
import type {ColdInstances} from './cold-instances/cold-instances.ts';
import {createInstanceRuntime} from './create-instance-runtime.ts';
import type {Evacuations} from './evacuation/evacuations.ts';
import {isJobAllowed} from './evacuation/is-job-allowed.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isProven} from './is-proven.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenConnection} from './open-connection.ts';
import {createPaceLog} from './pace/create-pace-log.ts';
import {rankReaders} from './rank-readers.ts';
import type {ReadCandidate} from './read-candidate.ts';
import type {SessionLog} from './session-log.ts';
import type {EndedWait} from './waiting/ended-wait.ts';

type Options = {
	/** Name of the group. */
	readonly group: string;
	/** Availability zone of this host. */
	readonly zone: string;
	readonly openConnection: OpenConnection;
	readonly gateways: Gateways;
	/** Finds how the instances of a zone may be used. Defaults to open zones. */
	readonly findZonePhase?: Evacuations['findPhase'] | undefined;
	/** How cold instances are spared; undefined if they are not. */
	readonly coldInstances?: ColdInstances | undefined;
	/** Returns the store's row about the primary; undefined if it is not known. */
	readonly findRow: () => Pick<GroupRow, 'primary' | 'successor' | 'copies'> | undefined;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	readonly log: Pick<SessionLog, 'info' | 'warn'>;
	/** Called when a request no longer waits for a place or a connection of this host. */
	readonly onWaitEnded?: ((wait: EndedWait) => void) | undefined;
};

/** The instances of a group, as this host uses them. */
type GroupInstances = {
	/** Applies the platform's list of instances, and the limit of this host's connections to each of them. */
	readonly update: (listed: readonly ListedInstance[], limit: number) => void;
	/** Since when the platform has not listed an instance, in milliseconds of the steady clock; undefined if it is listed. */
	readonly missingSince: (id: string) => number | undefined;
	/** Finds an instance that the platform lists, or listed a moment ago; takes it into use if it is not. */
	readonly find: (id: string) => InstanceRuntime | undefined;
	/** Lists the instances in use. */
	readonly list: () => readonly InstanceRuntime[];
	/** Lists dropped instances that the platform lists no more, but whose logs may hold acknowledged commits. */
	readonly listUnlisted: () => readonly InstanceRuntime[];
	/** Lists the instances that may serve a read, best first; `required` is the position that their logs must have reached. */
	readonly listReaders: (required: LogPoint, mayUseZone?: (zone: string) => boolean) => readonly InstanceRuntime[];
	/** Drops instances that stay unlisted, except the primary, and those that are too many, ends transactions in evacuated zones, and closes surplus connections. */
	readonly step: () => void;
};

/**
 * Instances of a group that a host uses, of those that the platform lists. Each takes memory, is ranked for each read, and is
 * asked for its status in a failover.
 */
const maxUsedCount = 100;

/** Milliseconds between two reads that try an instance which is not known to answer. */
const trialIntervalMs = 250;

/** Time after which an instance that is no longer listed is dropped; the platform may have lost its entry by mistake. */
const missingGracePeriodMs = 2500;

/** Time for which an idle connection is kept to an instance whose gateways are other hosts. */
const nonGatewayIdleTimeoutMs = 2000;

/** Creates the instances of a group; there are none until the platform lists them. */
export function createGroupInstances({
	group, zone, openConnection, gateways, findZonePhase = () => 'open', coldInstances, findRow, now, log, onWaitEnded,
}: Options): GroupInstances {
	/** All instances that the platform lists, by id. */
	let listed: ReadonlyMap<string, ListedInstance> = new Map();
	/** Instances in use, by id. */
	const instances = new Map<string, InstanceRuntime>();
	/** Dropped instances that the platform no longer lists and that may hold acknowledged commits, by id. */
	const unlisted = new Map<string, InstanceRuntime>();
	/** Instances in use that the platform no longer lists, and since when, in milliseconds of the steady clock. */
	const missing = new Map<string, number>();
	let connectionLimit = 0;
	let lastTaken: string | undefined;
	let hasTooMany = false;
	/** When a read last tried an instance that was not known to answer, in milliseconds of the steady clock. */
	let triedAt = Number.NEGATIVE_INFINITY;

	const create = (entry: ListedInstance): InstanceRuntime => {
		const {id} = entry;
		const instance: InstanceRuntime = createInstanceRuntime(entry, {
			openConnection,
			gateways,
			coldInstances,
			limit: connectionLimit,
			mayRun: kind => isJobAllowed(kind, {phase: findZonePhase(instance.listed().zone), isPrimary: findRow()?.primary === id}),
			onPaceChanged: createPaceLog({
				group, instance: id, now, log,
			}),
			now,
			onWaitEnded,
		});
		return instance;
	};

	const find = (id: string): InstanceRuntime | undefined => {
		const entry = listed.get(id);
		if (instances.has(id) || entry === undefined) {
			return instances.get(id);
		}

		const instance = create(entry);
		instances.set(id, instance);
		dropUnlisted(id);
		return instance;
	};

	const dropUnlisted = (id: string) => {
		unlisted.get(id)?.pool.close();
		unlisted.delete(id);
	};

	const drop = (id: string) => {
		instances.get(id)?.pool.close();
		instances.delete(id);
	};

	/** Chooses the instances to use; all, unless there are too many. */
	const choose = (): readonly string[] => {
		const row = findRow();
		const ids = [...listed.keys()];
		return ids.length <= maxUsedCount
			? ids
			: chooseInstances({
				listed: ids,
				needed: new Set([row?.primary ?? '', row?.successor ?? '']),
				findHealth: id => instances.get(id)?.health(),
				limit: maxUsedCount,
				lastTaken,
			});
	};

	/** Takes the chosen instances into use, and drops the other ones that are listed. */
	const useChosen = () => {
		const chosen = choose();
		lastTaken = chosen.findLast(id => !instances.has(id)) ?? lastTaken;
		for (const id of chosen) {
			find(id);
		}

		const kept = new Set(chosen);
		for (const id of instances.keys()) {
			if (listed.has(id) && !kept.has(id)) {
				drop(id);
			}
		}

		const hadTooMany = hasTooMany;
		hasTooMany = chosen.length < listed.size;
		if (hasTooMany && !hadTooMany) {
			log.warn({group, listed: listed.size, used: chosen.length}, 'group: The platform lists more instances than the host uses.');
		}
	};

	const isCopy = (id: string) => findRow()?.copies?.some(copy => copy.id === id) ?? false;

	/**
	 * Drops instances that stayed unlisted for the grace period; the primary is kept until it is replaced. One whose log may
	 * hold acknowledged commits can still be asked for its status, over new connections.
	 */
	const dropMissing = () => {
		for (const [id, since] of missing) {
			if (now() - since > missingGracePeriodMs && findRow()?.primary !== id) {
				const entry = instances.get(id)?.listed();
				missing.delete(id);
				drop(id);
				if (entry !== undefined && isCopy(id)) {
					unlisted.set(id, create(entry));
				}
			}
		}

		for (const id of [...unlisted.keys()].filter(candidate => !isCopy(candidate))) {
			dropUnlisted(id);
		}
	};

	/** Closes idle connections to instances of which this host is no gateway; they were opened to query a status. */
	const closeNonGatewayConnections = () => {
		for (const instance of [...instances.values(), ...unlisted.values()]) {
			if (!gateways.list(instance.listed(), undefined).includes(gateways.self)) {
				instance.pool.closeIdle(now() - nonGatewayIdleTimeoutMs);
			}
		}
	};

	/** Ends the transactions at instances of evacuated zones, as soon as they run no statement. */
	const endTransactions = () => {
		for (const instance of instances.values()) {
			const phase = findZonePhase(instance.listed().zone);
			if (phase === 'ending' || phase === 'closed') {
				instance.endIdleTransactions(phase === 'ending');
			}
		}
	};

	const createCandidate = (instance: InstanceRuntime): ReadCandidate => {
		const {inProgress, waiting, limit} = instance.pace.readLoad();
		const {id, zone: instanceZone} = instance.listed();
		return {
			id,
			isSameZone: instanceZone === zone,
			isPrimary: id === findRow()?.primary,
			isCold: instance.isCold(),
			health: instance.health(),
			load: (inProgress + waiting) / limit,
		};
	};

	return {
		update(newer, limit) {
			listed = new Map(newer.map(entry => [entry.id, entry]));
			connectionLimit = limit;
			useChosen();
			for (const [id, instance] of instances) {
				const entry = listed.get(id);
				if (entry === undefined) {
					missing.set(id, missing.get(id) ?? now());
				} else {
					missing.delete(id);
					instance.update(entry);
					instance.pool.setLimit(limit);
				}
			}
		},
		missingSince: id => missing.get(id),
		find,
		list: () => [...instances.values()],
		listUnlisted: () => [...unlisted.values()],
		listReaders(required, mayUseZone = () => true) {
			const candidates = [...instances.values()]
				.filter(instance => {
					const {isDeparting, zone: instanceZone} = instance.listed();
					return !isDeparting && findZonePhase(instanceZone) === 'open' && mayUseZone(instanceZone);
				})
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
			if (hasTooMany) {
				useChosen();
			}

			endTransactions();
			closeNonGatewayConnections();
		},
	};
}
