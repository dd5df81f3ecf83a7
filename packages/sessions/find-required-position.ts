import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {PositionSample} from './position-sample.ts';
import type {LastWrite} from './last-write.ts';

type Read = {
	readonly samples: readonly PositionSample[];
	/** Epoch that the samples are of. */
	readonly epoch: number;
	/** Milliseconds; age that the read may have. */
	readonly maxStaleness: number;
	/** Last write that the session must see. */
	readonly lastWrite: LastWrite | undefined;
	/** When the read arrived. */
	readonly arrivedAt: Instant;
};

/** Milliseconds; a read is held to a little less than its age, since its first byte left the caller before it arrived. */
const stalenessMargin = 60;

/**
 * Finds the position that a log must hold for a read to be fresh enough.
 *
 * The oldest sample that is young enough asks the least of replicas. A write of an earlier epoch may have been
 * dropped with its primary; the newest sample of this epoch holds all of it that is left.
 *
 * @returns Undefined when no sample is young enough.
 */
export function findRequiredPosition({samples, epoch, maxStaleness, lastWrite, arrivedAt}: Read): LogPoint | undefined {
	if (lastWrite !== undefined && lastWrite.epoch !== epoch) {
		const newest = samples.at(-1);
		return newest !== undefined && isYoung(newest, maxStaleness, arrivedAt) ? newest.position : undefined;
	}

	const oldest = samples.find(sample => isYoung(sample, maxStaleness, arrivedAt));
	if (oldest === undefined || lastWrite === undefined) {
		return oldest?.position;
	}

	return comparePoints(lastWrite.position, oldest.position) > 0 ? lastWrite.position : oldest.position;
}

function isYoung(sample: PositionSample, maxStaleness: number, arrivedAt: Instant): boolean {
	return findElapsed(sample.requestedAt, arrivedAt) <= maxStaleness - stalenessMargin;
}
