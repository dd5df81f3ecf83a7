import {expect} from 'chai';
import {applyPaceObservation} from './apply-pace-observation.ts';
import {createPaceState} from './create-pace-state.ts';
import type {PaceObservation} from './pace-observation.ts';
import type {PaceState} from './pace-state.ts';

const bounds = {slots: 4, share: 2, ceiling: 5};

/** Milliseconds between two observations. */
const intervalMs = 5;

/** Applies observations one after the other, with as many statements in progress as the limit allows. */
function applyAll(first: PaceState, observations: readonly PaceObservation[]): PaceState {
	let state = first;
	for (const [index, observation] of observations.entries()) {
		state = applyPaceObservation(state, {
			observation, bounds, inProgress: state.limit, now: index * intervalMs,
		});
	}

	return state;
}

function repeat(count: number, observation: PaceObservation): readonly PaceObservation[] {
	return Array.from({length: count}, () => observation);
}

function answer(count: number, latency = 8): readonly PaceObservation[] {
	return repeat(count, {kind: 'answered', latency});
}

const failed: PaceObservation = {kind: 'failed'};
const busy: PaceObservation = {kind: 'busy'};
const calm = applyAll(createPaceState(), answer(50));

describe('applyPaceObservation', () => {
	it('halves what was in progress when the limit is far above it, as with absurdly many slots', () => {
		const options = {bounds: {slots: 10_000_000, share: 5_000_000, ceiling: 10_000_001}, inProgress: 20, now: 100};
		const refusing = applyPaceObservation({...createPaceState(), limit: 65_536, refusals: 1}, {...options, observation: busy});
		expect(refusing.limit).to.equal(10);
	});

	const cases: ReadonlyArray<{name: string; from: PaceState; observations: readonly PaceObservation[]; limit: number; phase?: PaceState['phase']}> = [
		{
			name: 'begins with one statement at an instance that has just started', from: createPaceState(), observations: [], limit: 1, phase: 'slowStart',
		},
		{
			name: 'doubles up to the share after one answer', from: createPaceState(), observations: answer(1), limit: 2, phase: 'slowStart',
		},
		{
			name: 'reaches the ceiling within a few answers of an instance that has just started', from: createPaceState(), observations: answer(13), limit: 5, phase: 'steady',
		},
		{
			name: 'stays at the ceiling while an instance is calm', from: calm, observations: answer(500), limit: 5,
		},
		{
			name: 'falls to the share, no lower, when an instance becomes six times slower', from: calm, observations: answer(60, 48), limit: 2,
		},
		{
			name: 'rises again at an instance that stays six times slower', from: calm, observations: answer(700, 48), limit: 5,
		},
		{
			name: 'does not fall because of a hang in a tenth of the answers', from: calm, observations: Array.from({length: 20}, () => [...answer(9), failed]).flat(), limit: 5,
		},
		{
			name: 'falls to one while an instance is down', from: calm, observations: repeat(40, failed), limit: 1,
		},
		{
			name: 'begins a slow start when an instance is up again', from: calm, observations: [...repeat(40, failed), ...answer(1)], limit: 2, phase: 'slowStart',
		},
		{
			name: 'is back at the share within a few answers when an instance is up again and six times slower', from: calm, observations: [...repeat(40, failed), ...answer(4, 48)], limit: 2,
		},
		{
			name: 'is back at the share within a few answers when a busy instance recovers and is six times slower', from: calm, observations: [...repeat(40, busy), ...answer(4, 48)], limit: 2,
		},
		{
			name: 'is back within a few answers at an instance that goes up and down', from: calm, observations: [...repeat(40, failed), ...answer(8)], limit: 5,
		},
		{
			name: 'does not fall because of single refusals among answers', from: calm, observations: Array.from({length: 20}, () => [...answer(9), busy]).flat(), limit: 5,
		},
		{
			name: 'halves once for refusals of a busy instance that come together', from: calm, observations: repeat(5, busy), limit: 2,
		},
		{
			name: 'falls further while an instance stays busy', from: calm, observations: repeat(40, busy), limit: 1,
		},
		{
			name: 'begins a slow start when it is told to', from: calm, observations: [{kind: 'restarted'}], limit: 1, phase: 'slowStart',
		},
		{
			name: 'is not changed by statements that were not sent, or by a replica that lags', from: calm, observations: repeat(50, {kind: 'neutral'}), limit: 5,
		},
	];
	for (const {
		name, from, observations, limit, phase = 'steady',
	} of cases) {
		it(name, () => {
			const state = applyAll(from, observations);
			expect(state.limit).to.equal(limit);
			if (limit > 1) {
				expect(state.phase).to.equal(phase);
			}
		});
	}
});
