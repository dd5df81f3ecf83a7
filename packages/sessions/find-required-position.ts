import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {PositionSample} from './position-sample.ts';
import type {LastWrite} from './last-write.ts';

type ReadConstraints = {
	readonly samples: readonly PositionSample[];
	/** Epoch of the primary that answered the samples. */
	readonly epoch: number;
	/** Largest staleness of the read in milliseconds. */
	readonly maxStaleness: number;
	/** Last write of the session, which the read must see. */
	readonly lastWrite: LastWrite | undefined;
	/** When the host received the read. */
	readonly arrivedAt: Instant;
};

/** Milliseconds subtracted from the staleness limit, which counts from when the caller sent the first byte, before the host received the read. */
const stalenessMarginMs = 60;

/**
 * Finds the position that an instance's log must have reached to serve a read within its staleness limit.
 *
 * Takes the oldest sample within the limit, because more replicas satisfy it, or the session's last write if that is
 * newer. If the last write belongs to an earlier epoch, a failover may have lost it. The newest sample of the current
 * epoch covers whatever survived.
 *
 * @returns Undefined if no sample is within the limit.
 */
export function findRequiredPosition({samples, epoch, maxStaleness, lastWrite, arrivedAt}: ReadConstraints): LogPoint | undefined {
	if (lastWrite !== undefined && lastWrite.epoch !== epoch) {
		const newest = samples.at(-1);
		return newest !== undefined && isRecentEnough(newest, maxStaleness, arrivedAt) ? newest.position : undefined;
	}

	const oldest = samples.find(sample => isRecentEnough(sample, maxStaleness, arrivedAt));
	if (oldest === undefined || lastWrite === undefined) {
		return oldest?.position;
	}

	return comparePoints(lastWrite.position, oldest.position) > 0 ? lastWrite.position : oldest.position;
}

function isRecentEnough(sample: PositionSample, maxStaleness: number, arrivedAt: Instant): boolean {
	return findElapsed(sample.requestedAt, arrivedAt) <= maxStaleness - stalenessMarginMs;
}
