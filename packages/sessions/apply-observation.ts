import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import type {InstanceHealth} from './instance-health.ts';

/** An event between this host and an instance. */
type Observation =
	| {readonly kind: 'sent'}
	/** `latency`, in milliseconds, is taken into account only for statements that took a slot. */
	| {readonly kind: 'answered'; readonly latency: number | undefined; readonly position: LogPoint | undefined}
	| {readonly kind: 'lagging'; readonly missingPosition: LogPoint}
	/** A connection was lost or could not be opened, or an answer timed out. */
	| {readonly kind: 'failed'};

/** Weight of the newest latency in the exponential moving average. */
const latencyWeight = 0.15;

/** Milliseconds for which an instance is avoided after its first failure, and the limit to which that time doubles. */
const backoffMs = {first: 200, last: 1500};

/** Milliseconds for which other requests avoid a failed instance while one request probes it. */
const probeMs = 800;

/** Updates the health of an instance by an observation; `now` is in milliseconds of the steady clock. */
export function applyObservation(health: InstanceHealth, {observation, now}: {readonly observation: Observation; readonly now: number}): InstanceHealth {
	switch (observation.kind) {
		case 'sent': {
			return {
				...health,
				unansweredSince: health.unansweredSince ?? now,
				// One request probes whether a failed instance has recovered; other requests go elsewhere meanwhile.
				avoidedUntil: health.failures > 0 ? Math.max(health.avoidedUntil, now + probeMs) : health.avoidedUntil,
			};
		}

		case 'answered': {
			return {
				...health,
				latency: observation.latency === undefined ? health.latency : (health.latency * (1 - latencyWeight)) + (observation.latency * latencyWeight),
				hasAnswered: true,
				lastAnswerAt: now,
				unansweredSince: undefined,
				avoidedUntil: 0,
				failures: 0,
				position: findNewer(health.position, observation.position),
			};
		}

		case 'lagging': {
			return {...health, lastLag: {at: now, missingPosition: observation.missingPosition}};
		}

		case 'failed': {
			const span = Math.min(backoffMs.last, backoffMs.first * (2 ** health.failures));
			return {...health, avoidedUntil: now + span, failures: health.failures + 1};
		}
	}
}

function findNewer(known: LogPoint | undefined, seen: LogPoint | undefined): LogPoint | undefined {
	if (known === undefined || seen === undefined) {
		return seen ?? known;
	}

	// Across terms the position seen last counts: a replica that was rolled back may go from a newer log to an older one.
	return seen.term === known.term && comparePoints(known, seen) > 0 ? known : seen;
}
