import {commitFirstPrimary} from './commit-first-primary.ts';
import {createFenceAnswer} from './create-fence-answer.ts';
import {createFailoverRanks} from './create-failover-ranks.ts';
import {createLeavingPrimaries} from './create-leaving-primaries.ts';
import {createPrimaryConfirmation} from './create-primary-confirmation.ts';
import {createPromotionOrders} from './create-promotion-orders.ts';
import {createRegistration} from './create-registration.ts';
import {createSilenceVote} from './create-silence-vote.ts';
import type {FleetController} from './fleet-controller.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import {findBootstrapDelay} from './find-bootstrap-delay.ts';
import {findFailoverReason} from './find-failover-reason.ts';
import type {GroupRow} from './group-row.ts';
import {hasHolderEnded} from './has-holder-ended.ts';
import type {HostRow} from './host-row.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {Instant} from './instant.ts';
import {isHostSilent} from './is-host-silent.ts';
import type {Gateways} from './gateways.ts';
import type {ListedInstance} from './listed-instance.ts';
import {createCopyUpkeep} from './log-copies/create-copy-upkeep.ts';
import type {OrderPromotion} from './order-promotion.ts';
import {readStatus} from './read-status.ts';
import {replacePrimary} from './replace-primary.ts';
import type {FailoverReason} from './failover-reason.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import {statusTimeoutMs} from './status-timeout-ms.ts';
import type {Store} from './store.ts';
import {takeoverLimitMs} from './takeover-limit-ms.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Registration of this host. */
	readonly own: HostRow;
	readonly store: Store;
	readonly gateways: Pick<Gateways, 'list' | 'probe' | 'findSilentSince' | 'hasSilentHost'>;
	readonly listGroups: () => readonly SessionGroup[];
	readonly listInstances: () => readonly ListedInstance[];
	/** Whether a zone is evacuated. Defaults to none. */
	readonly isEvacuated?: (zone: string) => boolean;
	/** Whether the platform's list of instances is recent enough to act on. */
	readonly isListFresh: () => boolean;
	/** Milliseconds after which no statements may reach an instance that the platform lists as departing or not any more. */
	readonly drainLimitMs: number;
	/** Whether the commits of a group are acknowledged only once a replica has received them. */
	readonly isSynchronous: (group: string) => boolean;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	readonly orderPromotion: OrderPromotion;
	/** Registered hosts that have been silent for long, of those that this host monitors. */
	readonly listSilentHosts: () => readonly string[];
	/** Workspace whose connections are used to query instances. */
	readonly findWorkspace: () => string | undefined;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds between two attempts to register, to remove silent hosts, or to store a first primary. */
const retryIntervalMs = 500;

/** Milliseconds for which hosts only try to confirm a primary after the store came back from an older copy. */
const confirmFirstMs = 1000;

/** Creates the fleet controller of a host; see `FleetController`. */
export function createFleetController(options: Options): FleetController {
	const {own, store, now, log} = options;
	/** Current reason to replace each group's primary, and since when, in milliseconds of the steady clock. */
	const reasonSince = new Map<string, {readonly reason: FailoverReason; readonly since: number}>();
	/** Groups whose primary this host is replacing. */
	const busyGroups = new Set<string>();
	const leaving = createLeavingPrimaries(options.drainLimitMs);
	/** When this host may first have used a primary, in milliseconds of the steady clock. */
	const startedAt = now().steady;
	let fleet: FleetRows | undefined;
	/** When the fleet's rows first became known, in milliseconds of the steady clock. */
	let knownSince = Number.POSITIVE_INFINITY;
	/** When this host last attempted what it repeats at `retryIntervalMs`, in milliseconds of the steady clock. */
	let attemptedAt = Number.NEGATIVE_INFINITY;

	const findInstance = (group: string, id: string) => options.listGroups().find(({name}) => name === group)?.findInstance(id);
	const listHosts = () => [...fleet?.hosts.values() ?? []];
	/** Whether this host holds the failover lock because it replaces the primary of a group. */
	const hasFailoverLock = () => busyGroups.size > 0 && fleet?.failoverLock?.holder === own.name && [...fleet.groups.values()].some(row => row.state === 'fencing' && row.holder === own.name);
	const ranks = createFailoverRanks({...options, listHosts, hasFailoverLock});
	const registration = createRegistration(options);
	const orders = createPromotionOrders(options.orderPromotion);
	const confirmation = createPrimaryConfirmation({...options, findRank: group => ranks.findReachableRank(`confirm/${group}`)});
	const copyUpkeep = createCopyUpkeep({...options, findRank: group => ranks.findReachableRank(`copies/${group}`), now: () => now().steady});
	const silenceVote = createSilenceVote({
		self: own.name, listHosts, findInstance, findPeer: options.findPeer, findWorkspace: options.findWorkspace, now: () => now().steady, log,
	});

	/** Runs a task that changes the row of a group; no other one starts meanwhile. */
	const runExclusive = (group: string, task: Promise<void>) => {
		busyGroups.add(group);
		void task.finally(() => { // eslint-disable-line promise/prefer-await-to-then
			busyGroups.delete(group);
		});
	};

	/**
	 * Stores the primary of a group that has no row. Once the store has come back from an older copy, the platform's list may
	 * name a primary that was replaced since, so the instances are asked.
	 */
	const stepMissingGroup = (group: SessionGroup) => {
		const since = Math.max(knownSince, confirmation.findEra().since);
		if (confirmation.findEra().era === 1) {
			const delay = findBootstrapDelay(group.name, {self: own.name, hosts: [...fleet?.hosts.keys() ?? []]});
			if (now().steady - since > delay) {
				void commitFirstPrimary(group.name, options);
			}
		} else if (!busyGroups.has(group.name) && confirmation.isDue(group.name, since)) {
			runExclusive(group.name, confirmation.confirmMissing(group, since));
		}
	};

	/** Asks a primary that has refused a write whether it is a replica. If it leads, it is used again; if it does not answer, this is asked again later. */
	const isReplica = async (group: SessionGroup, {row: {primary, epoch}, workspace}: {readonly row: GroupRow; readonly workspace: string}) => {
		const instance = group.findInstance(primary);
		const status = instance && await readStatus(instance, {workspace, timeout: statusTimeoutMs});
		if (status?.role === 'primary') {
			group.setDemoted(epoch, false);
		}

		return status?.role === 'replica';
	};

	/** Whether the failover of a group, as of an epoch, is left to whichever host resumes it. */
	const isGivenUp = (name: string, epoch: number) => {
		const row = fleet?.groups.get(name);
		const fencedAt = options.listGroups().find(group => group.name === name)?.fencedAt();
		return fleet !== undefined && row?.epoch === epoch && (hasHolderEnded(row, fleet) || (fencedAt !== undefined && now().steady - fencedAt > takeoverLimitMs));
	};

	const recordLeaving = (group: SessionGroup, primary: string, at: number) => {
		if (!options.isListFresh()) {
			leaving.forget(group.name);
			return;
		}

		const isDeparting = group.findInstance(primary)?.listed().isDeparting ?? false;
		leaving.record(group.name, {
			primary, isDeparting, missingSince: group.missingSince(primary), now: at,
		});
	};

	const isLockUserSilent = async (group: string, host: string) => {
		const isSilent = await isHostSilent(options.findPeer(host), () => now().steady);
		if (isSilent) {
			log.info({group, holder: host}, 'failover: The host that uses the failover lock answers no ping; the lock may be taken from it.');
		}

		return isSilent;
	};

	const replace = async (group: SessionGroup, row: Versioned<GroupRow>, reason: FailoverReason) => {
		const {primary, epoch} = row;
		const workspace = options.findWorkspace();
		if (workspace === undefined) {
			return;
		}

		if (reason === 'demoted' && !await isReplica(group, {row, workspace})) {
			return;
		}

		if (reason === 'silent' && !await silenceVote.isConfirmed(group.name, primary)) {
			return;
		}

		await replacePrimary({
			group,
			reason,
			epoch,
			fencedAt: group.fencedAt(),
			mayHaveMissedPromotion: isFromEarlierEra(row) && (group.known(confirmation.findEra().era)?.epoch ?? Number.POSITIVE_INFINITY) > epoch,
			...options.isEvacuated && {isEvacuated: options.isEvacuated},
			isSynchronous: () => options.isSynchronous(group.name),
			isListFresh: options.isListFresh,
			isFenceDue: leaving.isFenceDue(group.name, now().steady),
			isGivenUp,
			isHostSilent: async host => ranks.isLockChecker(group.name) && isLockUserSilent(group.name, host),
			findEra: confirmation.findEra,
			self: own.name,
			incarnation: own.incarnation,
			store,
			orderPromotion: orders.order,
			findPeer: options.findPeer,
			listRecentHosts: registration.listRecentHosts,
			findHostsUnchangedSince: registration.findHostsUnchangedSince,
			workspace,
			now,
			log,
		});
	};

	const stepGroup = (group: SessionGroup) => {
		const row = fleet?.groups.get(group.name);
		if (row === undefined || busyGroups.has(group.name)) {
			return;
		}

		const instance = group.findInstance(row.primary);
		const listed = instance?.listed();
		if (listed !== undefined && ranks.isProber(listed)) {
			options.gateways.probe(listed);
		}

		const at = now().steady;
		recordLeaving(group, row.primary, at);
		const restoredSince = confirmation.findRestoredSince(group.name, row);
		const stepRestored = () => {
			if (restoredSince !== undefined && confirmation.isDue(group.name, restoredSince)) {
				runExclusive(group.name, confirmation.confirm(group, row));
			}
		};

		// A primary that seems lost may have been replaced in seconds that the store has lost.
		if (restoredSince !== undefined && at - restoredSince < confirmFirstMs) {
			stepRestored();
			return;
		}

		const reason = findFailoverReason({
			row,
			restoredSince,
			isDeparting: listed?.isDeparting ?? false,
			isEvacuated: group.isMoveDue(),
			missingSince: group.missingSince(row.primary),
			isDemoted: group.isDemoted(),
			health: instance?.health(),
			gatewaysSilentSince: listed && options.gateways.findSilentSince(listed),
			hasHolderEnded: fleet !== undefined && hasHolderEnded(row, fleet),
			hasFailoverLock: row.holder !== own.name && hasFailoverLock(),
			fencedAt: group.fencedAt(),
			isListFresh: options.isListFresh(),
			now: at,
		});
		if (reason === undefined) {
			reasonSince.delete(group.name);
			stepRestored();
			if (restoredSince === undefined) {
				copyUpkeep.step(group, row);
			}

			return;
		}

		const known = reasonSince.get(group.name);
		const held = known?.reason === reason ? known : {reason, since: at};
		reasonSince.set(group.name, held);
		if (at - held.since >= ranks.findDelay(group.name, {reason, primary: listed})) {
			reasonSince.delete(group.name);
			runExclusive(group.name, replace(group, row, reason));
		}
	};

	return {
		updateFleet(newer) {
			knownSince = Math.min(knownSince, now().steady);
			fleet = newer;
			registration.updateFleet(newer);
			confirmation.updateFleet(newer);
		},
		step() {
			const at = now().steady;
			if (fleet !== undefined && at - attemptedAt > retryIntervalMs) {
				attemptedAt = at;
				void registration.removeSilentHosts();
				if (!registration.isRegistered()) {
					void registration.register();
				}

				for (const group of options.listGroups()) {
					if (!fleet.groups.has(group.name)) {
						stepMissingGroup(group);
					}
				}
			}

			if (registration.isRegistered()) {
				for (const group of options.listGroups()) {
					stepGroup(group);
				}
			}
		},
		register: registration.register,
		isRegistered: registration.isRegistered,
		listRecentHosts: registration.listRecentHosts,
		async fenceGroup(group, epoch) {
			const known = options.listGroups().find(({name}) => name === group);
			known?.fence(epoch);
			return createFenceAnswer(known, {startedAt, now: now()});
		},
		confirmSilence: silenceVote.isSilent,
		async leave() {
			await orders.end();
			await registration.leave();
		},
	};
}
