import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import type {ReadCandidate} from './read-candidate.ts';

type Options = {
	/** Position that the log must have reached. */
	readonly required: LogPoint;
	/** Current time in milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds added for an instance in another zone, because traffic between zones is expensive. */
const remoteZonePenaltyMs = 40;

/** Milliseconds added for the primary, to keep its capacity for writes. */
const primaryPenaltyMs = 30;

/** Milliseconds after a lag report during which the instance is assumed to lag still. */
const lagRetentionMs = 150;

/** Milliseconds added for an instance that recently lacked the required position or an older one. */
const laggingPenaltyMs = 2000;

/** Milliseconds added for an instance that is avoided after a recent failure. */
const avoidedPenaltyMs = 5000;

/** Milliseconds that a request may stay unanswered before the instance counts as unresponsive. */
const silenceLimitMs = 250;

/** Milliseconds added for an unresponsive instance. */
const silentPenaltyMs = 400;

/**
 * Ranks the instances that may serve a read by their cost, lowest first.
 *
 * The cost in milliseconds is the smoothed latency, scaled by the load of the connection pool, plus penalties.
 */
export function rankReaders(candidates: readonly ReadCandidate[], options: Options): readonly ReadCandidate[] {
	return candidates
		.map(candidate => ({candidate, costMs: findCostMs(candidate, options)}))
		.toSorted((a, b) => a.costMs - b.costMs)
		.map(({candidate}) => candidate);
}

function findCostMs({isSameZone, isPrimary, health, load}: ReadCandidate, {required, now}: Options): number {
	let costMs = health.latency * (1 + load);
	costMs += isSameZone ? 0 : remoteZonePenaltyMs;
	costMs += isPrimary ? primaryPenaltyMs : 0;
	costMs += health.avoidedUntil > now ? avoidedPenaltyMs : 0;
	costMs += health.unansweredSince !== undefined && now - health.unansweredSince > silenceLimitMs ? silentPenaltyMs : 0;
	costMs += isLikelyLagging(health, required, now) ? laggingPenaltyMs : 0;
	return costMs;
}

function isLikelyLagging({lastLag, position}: ReadCandidate['health'], required: LogPoint, now: number): boolean {
	if (lastLag === undefined || now - lastLag.at > lagRetentionMs) {
		return false;
	}

	return comparePoints(required, lastLag.missingPosition) >= 0 && (position === undefined || comparePoints(position, required) < 0);
}
