import {createPaceState} from './create-pace-state.ts';
import type {PaceBounds} from './pace-bounds.ts';
import type {PaceObservation} from './pace-observation.ts';
import type {PaceState} from './pace-state.ts';

type Options = {
	readonly observation: PaceObservation;
	readonly bounds: PaceBounds;
	/** Statements that were in progress, the observed one included. */
	readonly inProgress: number;
	/** Current time in milliseconds of the steady clock. */
	readonly now: number;
};

/** Fewest answers on which a step of the steady phase is decided, since the work of single statements differs much. */
const minRoundAnswers = 24;

/** Multiple of the calm latency above which statements count as waiting at the instance. */
const latencyTolerance = {slowStart: 3, steady: 1.5};

/**
 * Weight of a round's mean in the calm latency: of a round within this host's share, of one that is so much slower that
 * other hosts may be the cause, and of any other round that is lower.
 */
const calmWeight = {withinShare: 0.2, slower: 0.1, lower: 0.1};

/** Fewest latencies from which the calm latency of an unknown instance is found. */
const minCalmAnswers = 8;

/** Weight of the newest latency in the moving average. */
const recentWeight = 0.1;

/** Milliseconds in which the limit falls once at most, since answers that come together tell of one cause. */
const fallIntervalMs = 50;

/** Refusals or failures without an answer between them that lower the limit; one among answers tells little about the load. */
const failuresBeforeFall = {busy: 2, failed: 3};

/** Failures in a row after which the instance counts as recovered when it answers again. */
const failuresBeforeRestart = 3;

const {round: emptyRound} = createPaceState();

/**
 * Updates the pace of an instance by what the end of a statement says about it.
 *
 * A slow start doubles the limit after as many answers as the limit. Afterwards the limit rises by one for each round of
 * answers, and falls when their mean latency shows that statements wait at the instance. Latency lowers it to this
 * host's share at most: there the host causes no wait, so what it measures is the calm latency, however long it is. A
 * slow start stays at the share for as long as it takes to measure it.
 */
export function applyPaceObservation(state: PaceState, {observation, bounds, inProgress, now}: Options): PaceState {
	switch (observation.kind) {
		case 'answered': {
			const answering = state.failures >= failuresBeforeRestart ? restart(state) : {...state, failures: 0, refusals: 0};
			const counted = countAnswer(answering, observation.latency, inProgress);
			return counted.phase === 'slowStart' ? stepSlowStart(counted, bounds) : stepSteady(counted, bounds, now);
		}

		case 'busy': {
			const refusing = {...state, refusals: state.refusals + 1, failures: 0};
			return refusing.refusals < failuresBeforeFall.busy ? refusing : halve(refusing, {bounds, inProgress, now});
		}

		case 'failed':
		case 'unreachable': {
			const failing = {...state, failures: state.failures + 1};
			return failing.failures < failuresBeforeFall.failed ? failing : halve(failing, {bounds, inProgress, now});
		}

		case 'restarted': {
			return restart(state);
		}

		case 'neutral': {
			return state;
		}
	}
}

/** Begins a slow start; the latencies that are known still tell a calm instance from a loaded one. */
function restart({calmLatency, recentLatency}: PaceState): PaceState {
	return {...createPaceState(), calmLatency, recentLatency};
}

function halve(state: PaceState, {bounds: {share}, inProgress, now}: Omit<Options, 'observation'>): PaceState {
	if (now - state.fellAt < fallIntervalMs) {
		return state;
	}

	// A limit that was not reached, for want of demand or of connections, did not cause the failure.
	const reached = Math.min(state.limit, Math.max(state.round.peak, inProgress));
	const limit = Math.max(1, Math.floor(reached / 2));
	// Up to the share the limit doubles again: the shares of all gateways do not overload the instance.
	return {
		...state, limit, phase: limit < share ? 'slowStart' : 'steady', target: share, round: emptyRound, fellAt: now,
	};
}

function countAnswer(state: PaceState, latency: number | undefined, inProgress: number): PaceState {
	const {round, recentLatency} = state;
	const answers = round.answers + 1;
	const peak = Math.max(round.peak, inProgress);
	if (latency === undefined) {
		return {...state, round: {...round, answers, peak}};
	}

	return {
		...state,
		recentLatency: moveAverage(recentLatency, latency, recentWeight),
		round: {
			answers, peak, measured: round.measured + 1, totalLatency: round.totalLatency + latency,
		},
	};
}

function stepSlowStart(state: PaceState, {share, ceiling}: PaceBounds): PaceState {
	const {limit, round} = state;
	const isMeasuring = state.calmLatency === undefined && limit >= share;
	if (round.answers < (isMeasuring ? Math.max(minCalmAnswers, limit) : limit)) {
		return state;
	}

	const mean = findMean(round);
	const calmLatency = isMeasuring ? mean : state.calmLatency;
	const target = Math.min(state.target, ceiling);
	// Below the share this host causes no wait: a latency above the calm one means an instance that is slow, as after its start.
	const isCalm = limit < share || mean === undefined || calmLatency === undefined || mean <= latencyTolerance.slowStart * calmLatency;
	const doubled = Math.min(target, limit < share ? Math.min(share, limit * 2) : limit * 2);
	const next = isCalm ? doubled : limit;
	return {
		...state, limit: next, calmLatency, phase: isCalm && next < target ? 'slowStart' : 'steady', round: emptyRound,
	};
}

function stepSteady(state: PaceState, {slots, share, ceiling}: PaceBounds, now: number): PaceState {
	const {limit, calmLatency, round} = state;
	if (round.answers < Math.max(minRoundAnswers, 2 * limit)) {
		return state;
	}

	const mean = findMean(round);
	const isWithinShare = round.peak <= share;
	// More statements than slots wait for each other; only what they wait beyond this is caused by other hosts.
	const tolerance = latencyTolerance.steady * Math.max(1, limit / slots);
	const closed: PaceState = {...state, calmLatency: moveCalm(calmLatency, mean, isWithinShare), round: emptyRound};
	if (isWithinShare || mean === undefined || calmLatency === undefined || mean <= tolerance * calmLatency) {
		return {...closed, limit: Math.min(ceiling, limit + 1)};
	}

	const fitting = Math.floor(limit * tolerance * calmLatency / mean);
	return {...closed, limit: Math.max(share, Math.min(limit - 1, ceiling, fitting)), fellAt: now};
}

function findMean({measured, totalLatency}: PaceState['round']): number | undefined {
	return measured === 0 ? undefined : totalLatency / measured;
}

function moveCalm(calm: number | undefined, mean: number | undefined, isWithinShare: boolean): number | undefined {
	if (mean === undefined || calm === undefined) {
		return calm ?? mean;
	}

	if (isWithinShare) {
		return moveAverage(calm, mean, mean > latencyTolerance.steady * calm ? calmWeight.slower : calmWeight.withinShare);
	}

	return mean < calm ? moveAverage(calm, mean, calmWeight.lower) : calm;
}

function moveAverage(average: number | undefined, value: number, weight: number): number {
	return average === undefined ? value : average + ((value - average) * weight);
}
