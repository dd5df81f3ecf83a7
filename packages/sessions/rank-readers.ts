import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import {isProven} from './is-proven.ts';
import type {ReadCandidate} from './read-candidate.ts';

type Options = {
	/** Position that the log must have reached. */
	readonly required: LogPoint;
	/** Whether one instance that may not answer at all may be ranked like the others, to find out. */
	readonly isTrialDue: boolean;
	/** Current time in milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds added for an instance in another zone, because traffic between zones is expensive. */
const remoteZonePenaltyMs = 40;

/** Milliseconds added for the primary, to keep its capacity for writes. */
const primaryPenaltyMs = 30;

/** Milliseconds added for a cold instance, which is slow and gets few statements. */
const coldPenaltyMs = 100;

/** Milliseconds after a lag report during which the instance is assumed to lag still. */
const lagRetentionMs = 150;

/** Milliseconds added for an instance that recently lacked the required position or an older one. */
const laggingPenaltyMs = 2000;

/** Milliseconds added for an instance that is avoided after a recent failure. */
const avoidedPenaltyMs = 5000;

/** Milliseconds added for an instance that has not answered since the platform listed it, or since it failed. */
const unprovenPenaltyMs = 1000;

/** Milliseconds that a request may stay unanswered before the instance counts as unresponsive. */
const silenceLimitMs = 250;

/** Milliseconds added for an unresponsive instance. */
const silentPenaltyMs = 400;

/**
 * Ranks the instances that may serve a read by their cost, lowest first.
 *
 * The cost in milliseconds is the smoothed latency, scaled by the load of the instance at this host, plus penalties. The platform may
 * list any number of instances that do not answer, so one that is not known to answer costs more than the others, except for
 * one when a trial is due: the first one that was never tried, whatever its cost, else the best one of those that have failed.
 *
 * @param candidates The instances, the one that has been in use for longest first.
 */
export function rankReaders(candidates: readonly ReadCandidate[], options: Options): readonly ReadCandidate[] {
	const ranked = sortByCost(candidates.map(candidate => ({candidate, costMs: findCostMs(candidate, options)})));
	const untried = options.isTrialDue ? candidates.find(candidate => isUntried(candidate)) : undefined;
	const failed = options.isTrialDue && untried === undefined ? ranked.find(({candidate}) => candidate.health.failures > 0) : undefined;
	const others = ranked
		.filter(({candidate}) => candidate !== untried)
		.map(({candidate, costMs}) => ({
			candidate, costMs: isProven(candidate) || candidate === failed?.candidate ? costMs : costMs + unprovenPenaltyMs,
		}));
	return [...untried === undefined ? [] : [untried], ...sortByCost(others).map(({candidate}) => candidate)];
}

/** Whether the host has not yet learned whether an instance answers, and is not finding out just now. */
function isUntried(candidate: ReadCandidate): boolean {
	const {failures, unansweredSince} = candidate.health;
	return !isProven(candidate) && failures === 0 && unansweredSince === undefined;
}

type RankedCandidate = {readonly candidate: ReadCandidate; readonly costMs: number};

function sortByCost(ranked: readonly RankedCandidate[]): readonly RankedCandidate[] {
	return ranked.toSorted((a, b) => a.costMs - b.costMs);
}

function findCostMs({
	isSameZone, isPrimary, isCold = false, health, load,
}: ReadCandidate, {required, now}: Options): number {
	let costMs = health.latency * (1 + load);
	costMs += isSameZone ? 0 : remoteZonePenaltyMs;
	costMs += isPrimary ? primaryPenaltyMs : 0;
	costMs += isCold ? coldPenaltyMs : 0;
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
