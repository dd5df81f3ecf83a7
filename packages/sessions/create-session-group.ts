import {createGroupInstances} from './create-group-instances.ts';
import {createPositionSampler} from './create-position-sampler.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
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
	const {now, log} = options;
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
		}

		row = newer;
		confirmedAt = newerConfirmedAt;
		notifyWaiters();
	};

	const instances = createGroupInstances({
		...options, group: name, findRow: () => row, now: () => now().steady,
	});
	const sampler = createPositionSampler({
		...options, group: name, findRow: () => row, findPrimary: primary, findInstance: instances.find,
	});

	return {
		name,
		updateInstances: instances.update,
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
		findInstance: instances.find,
		listInstances: instances.list,
		listReaders: instances.listReaders,
		findRequiredPosition: sampler.findRequiredPosition,
		recordAnswer: sampler.recordAnswer,
		findNewestPosition: sampler.findNewestPosition,
		recordPosition: sampler.recordPosition,
		async step() {
			instances.step();
			await sampler.step();
		},
	};
}
