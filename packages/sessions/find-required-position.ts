import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {PositionSample} from './position-sample.ts';
import type {LastWrite} from './last-write.ts';

type ReadConstraints = {
	/** Samples of the primary's log position, oldest first; those of an earlier epoch come first. */
	readonly samples: readonly PositionSample[];
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
 * Takes the oldest sample within the limit, because more replicas satisfy it, of the newest epoch that has one. A sample
 * proves what was acknowledged before it was taken, whatever happened to its primary since, so reads go on while a
 * primary is replaced. The session's last write is required as well. If it belongs to an earlier epoch than the sample, a
 * failover may have lost it, and the newest sample covers whatever survived.
 *
 * @returns Undefined if no sample is within the limit.
 */
export function findRequiredPosition({samples, maxStaleness, lastWrite, arrivedAt}: ReadConstraints): LogPoint | undefined {
	const recent = samples.filter(sample => isRecentEnough(sample, maxStaleness, arrivedAt));
	const newest = recent.at(-1);
	const oldest = recent.find(({epoch}) => epoch === newest?.epoch);
	if (newest === undefined || oldest === undefined || lastWrite === undefined) {
		return oldest?.position;
	}

	if (lastWrite.epoch < newest.epoch) {
		return newest.position;
	}

	return lastWrite.epoch > newest.epoch || comparePoints(lastWrite.position, oldest.position) > 0 ? lastWrite.position : oldest.position;
}

function isRecentEnough(sample: PositionSample, maxStaleness: number, arrivedAt: Instant): boolean {
	return findElapsed(sample.requestedAt, arrivedAt) <= maxStaleness - stalenessMarginMs;
}
