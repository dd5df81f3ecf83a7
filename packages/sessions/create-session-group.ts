import type {ColdInstances} from './cold-instances/cold-instances.ts';
import {createGroupInstances} from './create-group-instances.ts';
import {createPositionSampler} from './create-position-sampler.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import type {Evacuations} from './evacuation/evacuations.ts';
import {findPrimaryForNewWork} from './evacuation/find-primary-for-new-work.ts';
import {hasSuccessorElsewhere} from './evacuation/has-successor-elsewhere.ts';
import {isMoveDue} from './evacuation/is-move-due.ts';
import {findPrimary} from './find-primary.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {Instant} from './instant.ts';
import type {KnownGroup} from './known-group.ts';
import type {OpenConnection} from './open-connection.ts';
import type {PrimaryView} from './primary-view.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Versioned} from './versioned.ts';
import type {EndedWait} from './waiting/ended-wait.ts';

type Options = {
	/** Availability zone of this host. */
	readonly zone: string;
	readonly openConnection: OpenConnection;
	readonly gateways: Gateways;
	/** Finds how the instances of a zone may be used. Defaults to open zones. */
	readonly findZonePhase?: Evacuations['findPhase'];
	/** How cold instances are spared; undefined if they are not. */
	readonly coldInstances?: ColdInstances | undefined;
	/** Whether this host reads the store directly, and passes the primary's log position on to other hosts. */
	readonly isStoreReader: () => boolean;
	readonly now: () => Instant;
	readonly log: SessionLog;
	/** Finds a workspace on whose behalf the primary's position may be queried. */
	readonly findWorkspace: () => string | undefined;
	/** Called when a request no longer waits for a connection of this host. */
	readonly onWaitEnded?: ((wait: EndedWait) => void) | undefined;
};

/** Creates this host's state of a group: its instances, its primary and samples of the primary's log position. */
export function createSessionGroup(name: string, options: Options): SessionGroup {
	const {findZonePhase = () => 'open', now, log} = options;
	/** Called when the primary may have changed. */
	const waiters = new Set<() => void>();
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
	/** Epoch whose primary has refused a statement as only a replica does, or one that has lost its log; undefined if none has. */
	let demotedEpoch: number | undefined;
	/** When a failover last left the primary in its evacuated zone, in milliseconds of the steady clock; undefined if none did. */
	let stayedAt: number | undefined;

	const isDemoted = () => row !== undefined && row.epoch === demotedEpoch;

	const primary = () => findPrimary({
		row: row !== undefined && row.epoch < fencedEpoch ? {...row, state: 'fencing'} : row, confirmedAt, fencedAt, isDemoted: isDemoted(), isRegistered,
	}, now());

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
			const hasStayed = row?.state === 'fencing' && newer.state === 'serving' && newer.primary === row.primary;
			stayedAt = hasStayed && findPrimaryPhase() !== 'open' ? now().steady : stayedAt;
		}

		row = newer;
		confirmedAt = newerConfirmedAt;
		notifyWaiters();
	};

	const instances = createGroupInstances({
		...options, group: name, findRow: () => row, now: () => now().steady,
	});

	const isEvacuated = (zone: string) => findZonePhase(zone) !== 'open';

	const hasSuccessor = () => row !== undefined && hasSuccessorElsewhere(instances.list(), {
		primary: row.primary, isEvacuated, isListed: id => instances.missingSince(id) === undefined,
	});

	const findPrimaryPhase = () => {
		const instance = row === undefined ? undefined : instances.find(row.primary); // eslint-disable-line unicorn/no-array-callback-reference -- no array
		return instance === undefined ? 'open' : findZonePhase(instance.listed().zone);
	};

	/** Finds the primary for a statement or transaction that has not begun. */
	const primaryForNewWork = () => {
		const phase = findPrimaryPhase();
		return phase === 'open' ? primary() : findPrimaryForNewWork(primary(), {phase, hasSuccessor: hasSuccessor()});
	};

	const sampler = createPositionSampler({
		...options, group: name, findRow: () => row, findPrimary: primaryForNewWork, findInstance: instances.find,
	});

	return {
		name,
		updateInstances(listed, limit) {
			instances.update(listed, limit);
			notifyWaiters();
		},
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
		isDemoted,
		setDemoted(epoch, newer) {
			if (newer !== (epoch === demotedEpoch) && epoch === row?.epoch) {
				demotedEpoch = newer ? epoch : undefined;
				log.info({
					group: name, epoch, primary: row.primary, isDemoted: newer,
				}, 'group: The primary refused a statement as a replica or an instance without its log does, or leads again.');
				notifyWaiters();
			}
		},
		fencedAt: () => fencedAt,
		missingSince: instances.missingSince,
		primary: use => use?.isForNewWork === true ? primaryForNewWork() : primary(),
		isMoveDue: () => isMoveDue({
			isEvacuated: findPrimaryPhase() !== 'open', hasSuccessor: hasSuccessor(), stayedAt, hasRunLast: row?.holder === options.gateways.self, now: now().steady,
		}),
		async waitForPrimary(timeout) {
			const view = primaryForNewWork();
			if (view.kind === 'leased' || timeout <= 0) {
				return view;
			}

			return new Promise<PrimaryView>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					waiters.delete(check);
					resolve(primaryForNewWork());
				};

				const check = () => {
					if (primaryForNewWork().kind === 'leased') {
						finish();
					}
				};

				const timer = setTimeout(finish, timeout);
				waiters.add(check);
			});
		},
		findInstance: instances.find,
		listInstances: instances.list,
		listUnlisted: instances.listUnlisted,
		listReaders: instances.listReaders,
		findRequiredPosition: sampler.findRequiredPosition,
		recordAnswer: sampler.recordAnswer,
		findNewestPosition: sampler.findNewestPosition,
		recordCommit: sampler.recordCommit,
		findLogMark: sampler.findLogMark,
		findCommitMark: sampler.findCommitMark,
		recordPosition: sampler.recordPosition,
		async step() {
			instances.step();
			await sampler.step();
		},
	};
}
