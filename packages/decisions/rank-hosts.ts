import {createHash} from 'node:crypto';

/**
 * Ranks candidates for a resource by rendezvous hashing (highest random weight, Thaler and Ravishankar 1998).
 *
 * Every host that knows the same candidates finds the same order, and a candidate that leaves changes the
 * order of no others.
 *
 * @param resource What the candidates compete for.
 * @param candidates Identifiers.
 * @example
 * rankHosts('watch/pondbook', ['a1', 'b1', 'c1']);
 */
export function rankHosts(resource: string, candidates: readonly string[]): readonly string[] {
	return candidates
		.map(candidate => ({candidate, weight: hashPair(resource, candidate)}))
		.toSorted((a, b) => (a.weight === b.weight ? compareText(a.candidate, b.candidate) : b.weight - a.weight))
		.map(({candidate}) => candidate);
}

/** Bytes of the digest that make the weight. */
const weightBytes = 6;

function hashPair(resource: string, candidate: string): number {
	return createHash('sha256').update(`${resource}\n${candidate}`).digest().readUIntBE(0, weightBytes);
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : 1;
}
