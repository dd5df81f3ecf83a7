import {comparePoints} from '@sapphirefall/decisions';
import type {PositionSample} from './position-sample.ts';

/** Smallest spacing of kept samples in milliseconds; if the last sample is closer to the one before, the next sample replaces it. */
const sampleSpacingMs = 100;

/** Number of samples kept per group, enough to cover the largest staleness of a read. */
const maxSamples = 40;

/**
 * Adds a sample to the samples of a group, which are sorted oldest first; ignores one that is not newer than the last.
 *
 * Ignores as well one that lies behind the last of the same primary: either both requests overtook each other, or the instance
 * has lost its log, and its position says nothing of what it acknowledged before.
 */
export function addPositionSample(samples: readonly PositionSample[], added: PositionSample): readonly PositionSample[] {
	const secondLast = samples.at(-2);
	const last = samples.at(-1);
	if (last !== undefined && added.requestedAt.steady <= last.requestedAt.steady) {
		return samples;
	}

	if (last?.epoch === added.epoch && comparePoints(added.position, last.position) < 0) {
		return samples;
	}

	const isClose = secondLast !== undefined && last !== undefined && last.requestedAt.steady - secondLast.requestedAt.steady < sampleSpacingMs;
	const kept = isClose ? samples.slice(0, -1) : samples;
	return [...kept, added].slice(-maxSamples);
}
