import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import type {ReadCandidate} from './read-candidate.ts';

type Options = {
	/** Position that the log must hold. */
	readonly required: LogPoint;
	/** Steady milliseconds. */
	readonly now: number;
};

/** Milliseconds that a read may take longer before it goes to another zone; bytes between zones are dear. */
const remotePenalty = 40;

/** Milliseconds that a read may take longer before it goes to the primary, which writes need. */
const primaryPenalty = 30;

/** Milliseconds for which an instance that lacked a position is taken to lack it still. */
const lagMemory = 150;

/** Milliseconds; cost of an instance that lately lacked an older position than the required one. */
const laggingPenalty = 2000;

/** Milliseconds; cost of an instance that failed a moment ago. */
const avoidedPenalty = 5000;

/** Milliseconds without any answer to something sent after which an instance is held to be in trouble. */
const silenceLimit = 250;

/** Milliseconds; cost of an instance that lately answered nothing. */
const silentPenalty = 400;

/** Ranks the instances that may serve a read, the one that is expected to answer soonest first. */
export function rankReaders(candidates: readonly ReadCandidate[], options: Options): readonly ReadCandidate[] {
	return candidates
		.map(candidate => ({candidate, cost: findCost(candidate, options)}))
		.toSorted((a, b) => a.cost - b.cost)
		.map(({candidate}) => candidate);
}

function findCost({isLocal, isPrimary, health, load}: ReadCandidate, {required, now}: Options): number {
	let cost = health.latency * (1 + load);
	cost += isLocal ? 0 : remotePenalty;
	cost += isPrimary ? primaryPenalty : 0;
	cost += health.avoidedUntil > now ? avoidedPenalty : 0;
	cost += health.unansweredSince !== undefined && now - health.unansweredSince > silenceLimit ? silentPenalty : 0;
	cost += isBehind(health, required, now) ? laggingPenalty : 0;
	return cost;
}

function isBehind({lastLag: lagged, position}: ReadCandidate['health'], required: LogPoint, now: number): boolean {
	if (lagged === undefined || now - lagged.at > lagMemory) {
		return false;
	}

	return comparePoints(required, lagged.missingPosition) >= 0 && (position === undefined || comparePoints(position, required) < 0);
}
