import type {GroupRow} from './group-row.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {Versioned} from './versioned.ts';
import type {FailoverReason} from './failover-reason.ts';
import {takeoverLimitMs} from './takeover-limit-ms.ts';

type Options = {
	readonly row: Versioned<GroupRow>;
	/** Since when the row has been one of an earlier era of the store, in milliseconds of the steady clock; undefined if it is not. */
	readonly restoredSince: number | undefined;
	/** Whether the platform lists the primary as departing. */
	readonly isDeparting: boolean;
	/** Whether the primary is to leave an evacuated zone; see `isMoveDue`. */
	readonly isEvacuated: boolean;
	/** When the platform stopped listing the primary, in milliseconds of the steady clock. */
	readonly missingSince: number | undefined;
	/** Whether the primary has refused a statement as a replica or an instance without its log does. */
	readonly isDemoted: boolean;
	readonly health: InstanceHealth | undefined;
	/** Since when no gateway in the primary's zone has answered this host, in milliseconds of the steady clock. */
	readonly gatewaysSilentSince: number | undefined;
	/** Whether the process that runs the failover has ended: its host has started again since, or is not registered any more. */
	readonly hasHolderEnded: boolean;
	/** Whether this host uses the failover lock, and so resumes failovers whose hosts wait for it. */
	readonly hasFailoverLock: boolean;
	/** When this host first saw the current fence, in milliseconds of the steady clock. */
	readonly fencedAt: number | undefined;
	/** Whether the platform's list of instances is recent enough to act on. */
	readonly isListFresh: boolean;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds that a request may stay unanswered before its instance counts as silent; a vote checks it before anything is done. */
const silenceLimitMs = 400;

/** Milliseconds that an instance must be unlisted before it counts as missing, since its entry may have expired by mistake. */
const missingLimitMs = 2600;

/**
 * Milliseconds after which a primary is replaced that could not be confirmed since the store came back from an older copy.
 * Hosts confirm it within two attempts if its instances answer.
 */
const restoredLimitMs = 2500;

/** Finds why the primary of a group should be replaced, from what this host sees; undefined when it should not. */
export function findFailoverReason(options: Options): FailoverReason | undefined {
	const {
		row, restoredSince, isDemoted, health, gatewaysSilentSince, missingSince, hasHolderEnded, hasFailoverLock, fencedAt, now,
	} = options;
	if (restoredSince !== undefined && now - restoredSince > restoredLimitMs) {
		return 'restored';
	}

	if (row.state === 'fencing') {
		if (restoredSince !== undefined) {
			return undefined;
		}

		const waitsForLock = hasFailoverLock && row.token === 0;
		const isAbandoned = hasHolderEnded || waitsForLock || (fencedAt !== undefined && now - fencedAt > takeoverLimitMs);
		return isAbandoned ? 'abandoned' : undefined;
	}

	if (options.isListFresh && options.isDeparting) {
		return 'departing';
	}

	if (options.isListFresh && missingSince !== undefined && now - missingSince > missingLimitMs) {
		return 'missing';
	}

	if (options.isListFresh && options.isEvacuated) {
		return 'evacuated';
	}

	const silentSince = Math.min(health?.unansweredSince ?? Number.POSITIVE_INFINITY, gatewaysSilentSince ?? Number.POSITIVE_INFINITY);
	if (now - silentSince > silenceLimitMs) {
		return 'silent';
	}

	// Such a primary is asked for its role before it is replaced, which a silent one does not tell.
	return isDemoted ? 'demoted' : undefined;
}
