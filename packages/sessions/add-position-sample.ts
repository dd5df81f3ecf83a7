import type {PositionSample} from './position-sample.ts';

/** Milliseconds between two samples that are kept; closer ones replace the last. */
const sampleSpacing = 100;

/** Samples kept of a group: as many as cover the longest age that reads may have. */
const samplesKept = 40;

/** Adds a sample to the samples of a group, oldest first. */
export function addPositionSample(samples: readonly PositionSample[], added: PositionSample): readonly PositionSample[] {
	const before = samples.at(-2);
	const last = samples.at(-1);
	if (last !== undefined && added.requestedAt.steady <= last.requestedAt.steady) {
		return samples;
	}

	const isClose = before !== undefined && last !== undefined && last.requestedAt.steady - before.requestedAt.steady < sampleSpacing;
	const kept = isClose ? samples.slice(0, -1) : samples;
	return [...kept, added].slice(-samplesKept);
}
