import {commitConfirmedPrimary} from './commit-confirmed-primary.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {KnownEra} from './known-era.ts';
import {promotionLimitMs} from './promotion-limit-ms.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Registration of this host. */
	readonly own: HostRow;
	readonly store: Store;
	/** Finds this host's rank among those that may confirm the primary of a group; rank 0 acts first. */
	readonly findRank: (group: string) => number;
	/** Workspace whose connections are used to query instances. */
	readonly findWorkspace: () => string | undefined;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Confirmation of the groups' primaries after the store has come back from an older copy; see `commitConfirmedPrimary`. */
type PrimaryConfirmation = {
	readonly updateFleet: (fleet: FleetRows) => void;
	readonly findEra: () => KnownEra;
	/** Since when the row of a group has been one of an earlier era, in milliseconds of the steady clock; undefined if it is not. */
	readonly findRestoredSince: (group: string, row: Versioned<GroupRow>) => number | undefined;
	/** Whether it is this host's turn to confirm a primary that has been unknown since a moment, in milliseconds of the steady clock. */
	readonly isDue: (group: string, since: number) => boolean;
	/** Confirms the primary that a row of an earlier era names, or its successor. */
	readonly confirm: (group: SessionGroup, row: Versioned<GroupRow>) => Promise<void>;
	/** Finds and stores the primary of a group whose row the store has lost. */
	readonly confirmMissing: (group: SessionGroup, since: number) => Promise<void>;
};

/** Milliseconds by which each host waits longer than the host ranked before it, so that only one confirms a primary. */
const rankDelayMs = 200;

/** Milliseconds without a primary after which a host no longer waits for instances that do not answer. */
const overdueMs = 2500;

/** Stands for the row of a group that the store does not have. */
const missingRow: Versioned<GroupRow> = {
	version: 0, epoch: 0, state: 'serving', primary: '', successor: '', holder: '', token: 0,
};

/** Creates the confirmation of primaries; see `PrimaryConfirmation`. */
export function createPrimaryConfirmation({
	own, store, findRank, findWorkspace, now, log,
}: Options): PrimaryConfirmation {
	let knownEra: KnownEra = {era: 1, since: Number.NEGATIVE_INFINITY};
	const restoredSince = new Map<string, number>();

	const confirm = async (group: SessionGroup, row: Versioned<GroupRow>, isOverdue: boolean) => {
		const workspace = findWorkspace();
		if (workspace !== undefined) {
			await commitConfirmedPrimary(row, {
				group, self: own.name, incarnation: own.incarnation, era: knownEra.era, isSettled: now().steady - knownEra.since > promotionLimitMs, isOverdue, store, workspace, log,
			});
		}
	};

	return {
		updateFleet({era}) {
			if (era > knownEra.era) {
				knownEra = {era, since: now().steady};
			}
		},
		findEra: () => knownEra,
		findRestoredSince(group, row) {
			if (!isFromEarlierEra(row)) {
				restoredSince.delete(group);
				return undefined;
			}

			// After another return of the store, the hosts start to confirm anew.
			const since = Math.max(restoredSince.get(group) ?? now().steady, knownEra.since);
			restoredSince.set(group, since);
			return since;
		},
		isDue: (group, since) => now().steady - since >= findRank(group) * rankDelayMs,
		confirm: async (group, row) => confirm(group, row, false),
		confirmMissing: async (group, since) => confirm(group, missingRow, now().steady - since > overdueMs),
	};
}
