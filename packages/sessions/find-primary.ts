import {findLeaseRemaining} from './find-lease-remaining.ts';
import type {GroupRow} from './group-row.ts';
import type {Instant} from './instant.ts';
import type {PrimaryView} from './primary-view.ts';

type Known = {
	readonly row: GroupRow | undefined;
	/** Moment as of which the row is known. */
	readonly confirmedAt: Instant | undefined;
	/** Steady milliseconds since when a successor is being made, as seen here. */
	readonly fencedAt: number | undefined;
	/** Whether this host is registered in the store, so that a fence waits for it. */
	readonly isRegistered: boolean;
};

/** Milliseconds that a replacement usually takes from the fence to the new primary. */
const usualReplacement = 2500;

/** Milliseconds after which the store should have answered again. */
const usualProof = 500;

/** Milliseconds after which to come back when the store has not answered for longer than is usual. */
const longOutage = 2000;

/** Finds whether the primary of a group may be used now. */
export function findPrimary({row, confirmedAt: provenAt, fencedAt, isRegistered}: Known, now: Instant): PrimaryView {
	if (row === undefined || provenAt === undefined || !isRegistered) {
		return {kind: 'unavailable', reason: 'unknown', retryAfter: usualProof};
	}

	if (row.state === 'fencing') {
		const elapsed = now.steady - (fencedAt ?? now.steady);
		return {kind: 'unavailable', reason: 'fencing', retryAfter: Math.max(usualProof, usualReplacement - elapsed)};
	}

	const left = findLeaseRemaining(provenAt, now);
	return left > 0
		? {kind: 'leased', instance: row.primary, epoch: row.epoch}
		: {kind: 'unavailable', reason: 'lapsed', retryAfter: -left < usualProof ? usualProof : longOutage};
}
