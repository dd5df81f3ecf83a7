import type {GroupRow} from './group-row.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {FailoverReason} from './failover-reason.ts';

type Seen = {
	readonly row: GroupRow;
	/** Whether the platform lists the primary as departing. */
	readonly isDeparting: boolean;
	/** Since when the platform does not list the primary, in steady milliseconds. */
	readonly missingSince: number | undefined;
	readonly health: InstanceHealth | undefined;
	/** Since when a replacement is under way, as seen here, in steady milliseconds. */
	readonly fencedAt: number | undefined;
	/** Whether what the platform lists is known to be recent. */
	readonly isListFresh: boolean;
	/** Steady milliseconds. */
	readonly now: number;
};

/** Milliseconds without any answer to something sent after which an instance counts as silent. */
const silenceLimit = 700;

/** Milliseconds after which an instance that is no longer listed counts as gone; its entry may have lapsed by mistake. */
const missingLimit = 2600;

/** Milliseconds after which a replacement that another host began counts as abandoned. */
const abandonedLimit = 5000;

/** Finds whether the primary of a group should be replaced, as far as this host can see. */
export function findFailoverReason(seen: Seen): FailoverReason | undefined {
	const {
		row, health, missingSince, fencedAt, now,
	} = seen;
	if (row.state === 'fencing') {
		return fencedAt !== undefined && now - fencedAt > abandonedLimit ? 'abandoned' : undefined;
	}

	if (seen.isListFresh && seen.isDeparting) {
		return 'departing';
	}

	if (seen.isListFresh && missingSince !== undefined && now - missingSince > missingLimit) {
		return 'missing';
	}

	const isSilent = health?.unansweredSince !== undefined && now - health.unansweredSince > silenceLimit;
	return isSilent ? 'silent' : undefined;
}
