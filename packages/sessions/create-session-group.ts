import type {LogPoint} from '@sapphirefall/decisions';
import {addSample} from './add-sample.ts';
import {createInstanceRuntime} from './create-instance-runtime.ts';
import {findElapsed} from './find-elapsed.ts';
import {findPrimary} from './find-primary.ts';
import {findRequiredPosition} from './find-required-position.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Instant} from './instant.ts';
import {isSampleDue} from './is-sample-due.ts';
import type {OpenLink} from './open-link.ts';
import type {PositionSample} from './position-sample.ts';
import type {PrimaryView} from './primary-view.ts';
import {rankReaders} from './rank-readers.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Availability zone of this host. */
	readonly zone: string;
	readonly openLink: OpenLink;
	readonly gateways: Gateways;
	/** Whether this host reads the store, and tells others how far the primary's log is. */
	readonly isReading: () => boolean;
	readonly now: () => Instant;
	readonly log: SessionLog;
	/** A workspace in whose name the primary may be asked for its position. */
	readonly findWorkspace: () => string | undefined;
};

/** Milliseconds after which an instance that is no longer listed is given up; its entry may have lapsed by mistake. */
const missingSpan = 2500;

/** Milliseconds for which an idle connection is kept to an instance that others connect to. */
const foreignLinkSpan = 2000;

/** Milliseconds after such a read for which positions are kept up to date. */
const wantedSpan = 5000;

/** Creates what a host keeps of a group of instances. */
export function createSessionGroup(name: string, options: Options): SessionGroup {
	const {
		zone, openLink, gateways, now, log, findWorkspace, isReading,
	} = options;
	const instances = new Map<string, InstanceRuntime>();
	const waiters = new Set<() => void>();
	/** Instances that the platform lists no more, and since when in steady milliseconds. */
	const missing = new Map<string, number>();
	let row: Versioned<GroupRow> | undefined;
	let provenAt: Instant | undefined;
	let fencedAt: number | undefined;
	/** Epoch whose fence this host has promised to respect, whatever older rows say. */
	let fencedEpoch = 0;
	let isRegistered = false;
	let samples: readonly PositionSample[] = [];
	let isProbing = false;
	/** When a caller last wanted to read at a replica, in steady milliseconds. */
	let wantedAt = Number.NEGATIVE_INFINITY;

	const primary = () => findPrimary({
		row: row !== undefined && row.epoch < fencedEpoch ? {...row, state: 'fencing'} : row, confirmedAt: provenAt, fencedAt, isRegistered,
	}, now());

	const wake = () => {
		for (const waiter of waiters) {
			waiter();
		}
	};

	const updateRow: SessionGroup['updateRow'] = (newer, newerProvenAt) => {
		if (newer === undefined || (row !== undefined && newer.version < row.version)) {
			return;
		}

		if (newer.epoch !== row?.epoch || newer.state !== row.state) {
			log.info({
				group: name, epoch: newer.epoch, state: newer.state, primary: newer.primary, successor: newer.successor, version: newer.version,
			}, 'group: The store names the primary.');
			fencedAt = newer.state === 'fencing' ? now().steady : undefined;
			if (newer.epoch !== row?.epoch) {
				samples = [];
			}
		}

		row = newer;
		provenAt = newerProvenAt;
		wake();
	};

	const updateInstances: SessionGroup['updateInstances'] = (listed, limit) => {
		for (const entry of listed) {
			const known = instances.get(entry.id);
			if (known === undefined) {
				instances.set(entry.id, createInstanceRuntime(entry, {
					openLink, gateways, limit, now: () => now().steady,
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

	/** Gives up instances that are gone for good; the primary stays until it is replaced. */
	const dropMissing = () => {
		for (const [id, since] of missing) {
			if (now().steady - since > missingSpan && row?.primary !== id) {
				missing.delete(id);
				instances.get(id)?.pool.close();
				instances.delete(id);
			}
		}
	};

	/** Closes connections to instances whose gateway this host is not; they were opened to ask for a status. */
	const dropForeignLinks = () => {
		for (const instance of instances.values()) {
			if (!gateways.list(instance.listed(), undefined).includes(gateways.self)) {
				instance.pool.dropIdle(now().steady - foreignLinkSpan);
			}
		}
	};

	const listReaders = (required: LogPoint): readonly InstanceRuntime[] => {
		const candidates = [...instances.values()]
			.filter(instance => !instance.listed().isDeparting)
			.map(instance => {
				const {busy, waiting, limit} = instance.pool.load();
				const {id, zone: instanceZone} = instance.listed();
				return {
					id,
					isLocal: instanceZone === zone,
					isPrimary: id === row?.primary,
					health: instance.health(),
					load: (busy + waiting) / Math.max(1, limit),
				};
			});
		return rankReaders(candidates, {required, now: now().steady})
			.map(({id}) => instances.get(id))
			.filter(instance => instance !== undefined);
	};

	const noteAnswer: SessionGroup['noteAnswer'] = (instance, answer, asked) => {
		const isSample = answer.kind === 'answered' && instance === row?.primary && asked.epoch === row.epoch && row.state === 'serving';
		if (isSample && answer.position !== undefined) {
			samples = addSample(samples, {askedAt: asked.at, position: answer.position});
		}
	};

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
			noteAnswer(view.instance, answer, {at, epoch: view.epoch});
		}
	};

	return {
		name,
		updateInstances,
		updateRow,
		setRegistered() {
			isRegistered = true;
			wake();
		},
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
		findRequired(read) {
			wantedAt = now().steady;
			return row === undefined ? undefined : findRequiredPosition({samples, epoch: row.epoch, ...read});
		},
		listReaders,
		noteAnswer,
		findNewestPosition() {
			const newest = samples.at(-1);
			return newest && row && {
				group: name, epoch: row.epoch, position: newest.position, age: findElapsed(newest.askedAt, now()),
			};
		},
		notePosition({epoch, position, age}, from) {
			if (epoch === row?.epoch && row.state === 'serving') {
				samples = addSample(samples, {askedAt: {steady: from.steady - age, wall: from.wall - age}, position});
			}
		},
		async probe() {
			dropMissing();
			dropForeignLinks();
			const last = samples.at(-1);
			const at = now();
			const isDue = isSampleDue({
				age: last === undefined ? Number.POSITIVE_INFINITY : findElapsed(last.askedAt, at),
				isReading: isReading(),
				isWanted: at.steady - wantedAt < wantedSpan,
				now: at.steady,
			});
			if (isProbing || !isDue) {
				return;
			}

			isProbing = true;
			try {
				await sample();
			} finally {
				isProbing = false;
			}
		},
	};
}
