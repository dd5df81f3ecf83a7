import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import type {InstanceHealth} from './instance-health.ts';

/** What happened between this host and an instance. */
type Observation =
	| {readonly kind: 'sent'}
	/** `latency` in milliseconds counts only for statements that took a slot. */
	| {readonly kind: 'answered'; readonly latency: number | undefined; readonly position: LogPoint | undefined}
	| {readonly kind: 'lagging'; readonly missingPosition: LogPoint}
	/** A connection was lost or could not be opened, or an answer did not come in time. */
	| {readonly kind: 'failed'};

/** Weight of the newest latency in the smoothed one. */
const latencyWeight = 0.15;

/** Milliseconds for which an instance is avoided after its first failure, and at the most. */
const avoidance = {first: 200, last: 1500};

/** Milliseconds for which others stay away while one request tries an instance that failed. */
const trialSpan = 800;

/** Applies what was seen of an instance; `now` in steady milliseconds. */
export function applyObservation(health: InstanceHealth, {seen, now}: {readonly seen: Observation; readonly now: number}): InstanceHealth {
	switch (seen.kind) {
		case 'sent': {
			return {
				...health,
				unansweredSince: health.unansweredSince ?? now,
				// One request tells whether an instance that failed is back; others go elsewhere meanwhile.
				avoidedUntil: health.failures > 0 ? Math.max(health.avoidedUntil, now + trialSpan) : health.avoidedUntil,
			};
		}

		case 'answered': {
			return {
				...health,
				latency: seen.latency === undefined ? health.latency : (health.latency * (1 - latencyWeight)) + (seen.latency * latencyWeight),
				lastAnswerAt: now,
				unansweredSince: undefined,
				avoidedUntil: 0,
				failures: 0,
				position: findNewer(health.position, seen.position),
			};
		}

		case 'lagging': {
			return {...health, lastLag: {at: now, missingPosition: seen.missingPosition}};
		}

		case 'failed': {
			const span = Math.min(avoidance.last, avoidance.first * (2 ** health.failures));
			return {...health, avoidedUntil: now + span, failures: health.failures + 1};
		}
	}
}

function findNewer(known: LogPoint | undefined, seen: LogPoint | undefined): LogPoint | undefined {
	if (known === undefined || seen === undefined) {
		return seen ?? known;
	}

	// A position of an older log may follow one of a newer one when a replica was rolled back.
	return seen.term === known.term && comparePoints(known, seen) > 0 ? known : seen;
}
