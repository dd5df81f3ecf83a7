import {findLeaseRemaining} from './find-lease-remaining.ts';
import type {GroupRow} from './group-row.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {Instant} from './instant.ts';
import type {Versioned} from './versioned.ts';
import type {PrimaryView} from './primary-view.ts';

type Options = {
	readonly row: Versioned<GroupRow> | undefined;
	/** Moment as of which the store confirmed the row. */
	readonly confirmedAt: Instant | undefined;
	/** When this host first saw the fence, in milliseconds of the steady clock. */
	readonly fencedAt: number | undefined;
	/** Whether the primary has refused a write of this host as a replica does. */
	readonly isDemoted: boolean;
	/** Whether this host is registered in the store, so that failovers wait for it to release the primary. */
	readonly isRegistered: boolean;
};

/** Usual duration of a failover in milliseconds, from the fence to the new primary. */
const usualFailoverMs = 2500;

/** Milliseconds within which the store usually confirms the row again. */
const usualConfirmMs = 500;

/** Milliseconds after which to retry when the store has not answered for longer than usual. */
const longOutageRetryMs = 2000;

/** Finds whether this host may use the primary of a group now; if not, says why and when to retry. */
export function findPrimary({
	row, confirmedAt, fencedAt, isDemoted, isRegistered,
}: Options, now: Instant): PrimaryView {
	if (row === undefined || confirmedAt === undefined || !isRegistered) {
		return {kind: 'unavailable', reason: 'unknown', retryAfter: usualConfirmMs};
	}

	if (isFromEarlierEra(row)) {
		return {kind: 'unavailable', reason: 'restored', retryAfter: usualConfirmMs};
	}

	if (row.state === 'fencing') {
		const elapsed = now.steady - (fencedAt ?? now.steady);
		return {kind: 'unavailable', reason: 'fencing', retryAfter: Math.max(usualConfirmMs, usualFailoverMs - elapsed)};
	}

	// A replica runs reads, so nothing else would keep them from an instance that does not lead any more.
	if (isDemoted) {
		return {kind: 'unavailable', reason: 'demoted', retryAfter: usualFailoverMs};
	}

	const remaining = findLeaseRemaining(confirmedAt, now);
	return remaining > 0
		? {kind: 'leased', instance: row.primary, epoch: row.epoch}
		: {kind: 'unavailable', reason: 'lapsed', retryAfter: -remaining < usualConfirmMs ? usualConfirmMs : longOutageRetryMs};
}
