import type {LogPoint} from '@sapphirefall/decisions';
import {addPositionSample} from './add-position-sample.ts';
import {createInstanceRuntime} from './create-instance-runtime.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import {findElapsed} from './find-elapsed.ts';
import {findPrimary} from './find-primary.ts';
import {findRequiredPosition} from './find-required-position.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Instant} from './instant.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import {isPositionSampleDue} from './is-position-sample-due.ts';
import type {KnownGroup} from './known-group.ts';
import type {OpenConnection} from './open-connection.ts';
import type {PositionSample} from './position-sample.ts';
import type {PrimaryView} from './primary-view.ts';
import {rankReaders} from './rank-readers.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Availability zone of this host. */
	readonly zone: string;
	readonly openConnection: OpenConnection;
	readonly gateways: Gateways;
	/** Whether this host reads the store directly, and passes the primary's log position on to other hosts. */
	readonly isStoreReader: () => boolean;
	readonly now: () => Instant;
	readonly log: SessionLog;
	/** Finds a workspace on whose behalf the primary's position may be queried. */
	readonly findWorkspace: () => string | undefined;
};

/** Time after which an instance that is no longer listed is dropped; the platform may have lost its entry by mistake. */
const missingGracePeriodMs = 2500;

/** Time for which an idle connection is kept to an instance whose gateways are other hosts. */
const nonGatewayIdleTimeoutMs = 2000;

/** Time for which positions are kept up to date after a caller last requested a read from a replica. */
const samplingPeriodMs = 5000;

/** Creates this host's state of a group: its instances, its primary and samples of the primary's log position. */
export function createSessionGroup(name: string, options: Options): SessionGroup {
	const {
		zone, openConnection, gateways, now, log, findWorkspace, isStoreReader,
	} = options;
	const instances = new Map<string, InstanceRuntime>();
	/** Called when the primary may have changed. */
	const waiters = new Set<() => void>();
	/** Instances that the platform no longer lists, and since when, in milliseconds of the steady clock. */
	const missing = new Map<string, number>();
	let row: Versioned<GroupRow> | undefined;
	let confirmedAt: Instant | undefined;
	let fencedAt: number | undefined;
	/**
	 * Epoch of the newest fence that this host has acknowledged. The host must not use the primary of an older epoch, even
	 * if the row that it knows still names one.
	 */
	let fencedEpoch = 0;
	/** What was known before the era of the store in which the row was read; see `SessionGroup`. */
	let known: KnownGroup | undefined;
	let isRegistered = false;
	let samples: readonly PositionSample[] = [];
	/** Whether a position query is in flight. */
	let isSampling = false;
	/** When a caller last requested a read that a replica may serve, in milliseconds of the steady clock. */
	let replicaReadAt = Number.NEGATIVE_INFINITY;

	const primary = () => findPrimary({
		row: row !== undefined && row.epoch < fencedEpoch ? {...row, state: 'fencing'} : row, confirmedAt, fencedAt, isRegistered,
	}, now());

	/** Whether the row may name the present primary: it is not being replaced, and was written in the present era of the store. */
	const isServing = () => row?.state === 'serving' && !isFromEarlierEra(row);

	const notifyWaiters = () => {
		for (const waiter of waiters) {
			waiter();
		}
	};

	const findKnown = (last: GroupRow): KnownGroup => ({row: last, epoch: Math.max(last.epoch, fencedEpoch)});

	const updateRow: SessionGroup['updateRow'] = (newer, newerConfirmedAt) => {
		if (newer === undefined || (row !== undefined && newer.version < row.version)) {
			return;
		}

		if (row !== undefined && decodeStoreVersion(newer.version).era > decodeStoreVersion(row.version).era) {
			known = findKnown(row);
		}

		if (newer.epoch !== row?.epoch || newer.state !== row.state) {
			log.info({
				group: name, epoch: newer.epoch, state: newer.state, primary: newer.primary, successor: newer.successor, version: newer.version,
			}, 'group: The epoch or state of the primary changed in the store.');
			fencedAt = newer.state === 'fencing' ? now().steady : undefined;
		}

		row = newer;
		confirmedAt = newerConfirmedAt;
		notifyWaiters();
	};

	const updateInstances: SessionGroup['updateInstances'] = (listed, limit) => {
		for (const entry of listed) {
			const known = instances.get(entry.id);
			if (known === undefined) {
				instances.set(entry.id, createInstanceRuntime(entry, {
					openConnection, gateways, limit, now: () => now().steady,
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
				missing.set(id, now().steady);
			}
		}
	};

	/** Drops instances that stayed unlisted for the grace period; the primary is kept until it is replaced. */
	const dropMissing = () => {
		for (const [id, since] of missing) {
			if (now().steady - since > missingGracePeriodMs && row?.primary !== id) {
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
				instance.pool.closeIdle(now().steady - nonGatewayIdleTimeoutMs);
			}
		}
	};

	const listReaders = (required: LogPoint): readonly InstanceRuntime[] => {
		const candidates = [...instances.values()]
			.filter(instance => !instance.listed().isDeparting)
			.map(instance => {
				const {busy, waiting, limit} = instance.pool.readLoad();
				const {id, zone: instanceZone} = instance.listed();
				return {
					id,
					isSameZone: instanceZone === zone,
					isPrimary: id === row?.primary,
					health: instance.health(),
					load: (busy + waiting) / Math.max(1, limit),
				};
			});
		return rankReaders(candidates, {required, now: now().steady})
			.map(({id}) => instances.get(id))
			.filter(instance => instance !== undefined);
	};

	const recordAnswer: SessionGroup['recordAnswer'] = (instance, answer, request) => {
		const isSample = answer.kind === 'answered' && instance === row?.primary && request.epoch === row.epoch && isServing();
		if (isSample && answer.position !== undefined) {
			samples = addPositionSample(samples, {requestedAt: request.at, position: answer.position, epoch: request.epoch});
		}
	};

	/** Queries the position of the primary and records it. */
	const sample = async () => {
		const view = primary();
		const instance = view.kind === 'leased' ? instances.get(view.instance) : undefined;
		const workspace = findWorkspace();
		if (view.kind !== 'leased' || instance === undefined || workspace === undefined) {
			return;
		}

		const at = now();
		const {answer} = await instance.run({kind: 'position', workspace}, () => true);
		if (answer.kind !== 'notSent') {
			recordAnswer(view.instance, answer, {at, epoch: view.epoch});
		}
	};

	return {
		name,
		updateInstances,
		updateRow,
		setRegistered(newer) {
			if (newer !== isRegistered) {
				isRegistered = newer;
				notifyWaiters();
			}
		},
		known: era => row !== undefined && decodeStoreVersion(row.version).era < era ? findKnown(row) : known,
		fence(epoch) {
			if (epoch > fencedEpoch) {
				fencedEpoch = epoch;
				fencedAt = now().steady;
			}
		},
		fencedAt: () => fencedAt,
		missingSince: id => missing.get(id),
		primary,
		async waitForPrimary(timeout) {
			const view = primary();
			if (view.kind === 'leased' || timeout <= 0) {
				return view;
			}

			return new Promise<PrimaryView>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					waiters.delete(check);
					resolve(primary());
				};

				const check = () => {
					if (primary().kind === 'leased') {
						finish();
					}
				};

				const timer = setTimeout(finish, timeout);
				waiters.add(check);
			});
		},
		findInstance: id => instances.get(id),
		listInstances: () => [...instances.values()],
		findRequiredPosition(read) {
			replicaReadAt = now().steady;
			return findRequiredPosition({samples, ...read});
		},
		listReaders,
		recordAnswer,
		findNewestPosition() {
			const newest = samples.at(-1);
			return newest && {
				group: name, epoch: newest.epoch, position: newest.position, age: findElapsed(newest.requestedAt, now()),
			};
		},
		recordPosition({epoch, position, age}, from) {
			if (epoch === row?.epoch && isServing()) {
				samples = addPositionSample(samples, {requestedAt: {steady: from.steady - age, wall: from.wall - age}, position, epoch});
			}
		},
		async step() {
			dropMissing();
			closeNonGatewayConnections();
			const last = samples.findLast(({epoch}) => epoch === row?.epoch);
			const at = now();
			const isDue = isPositionSampleDue({
				age: last === undefined ? Number.POSITIVE_INFINITY : findElapsed(last.requestedAt, at),
				isStoreReader: isStoreReader(),
				hasReplicaReads: at.steady - replicaReadAt < samplingPeriodMs,
				now: at.steady,
			});
			if (isSampling || !isDue) {
				return;
			}

			isSampling = true;
			try {
				await sample();
			} finally {
				isSampling = false;
			}
		},
	};
}
