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
	const seed = hashText(resource);
	return candidates
		.map(candidate => ({candidate, weight: mixBits(seed, hashText(candidate))}))
		.toSorted((a, b) => (a.weight === b.weight ? compareText(a.candidate, b.candidate) : b.weight - a.weight))
		.map(({candidate}) => candidate);
}

/** Digests that are remembered at most; more than a fleet has hosts and databases. */
const digestsKept = 50_000;

const digests = new Map<string, number>();

/** Hashes a text to 32 bits, and remembers the result. */
function hashText(text: string): number {
	const known = digests.get(text);
	if (known !== undefined) {
		return known;
	}

	if (digests.size >= digestsKept) {
		digests.clear();
	}

	const digest = createHash('sha256').update(text).digest().readUInt32BE(0);
	digests.set(text, digest);
	return digest;
}

/* eslint-disable no-bitwise -- a hash works on bits */

/** Mixes two digests into a weight with the finalizer of MurmurHash3 (Appleby 2011). */
function mixBits(seed: number, digest: number): number {
	let bits = seed ^ digest;
	bits = Math.imul(bits ^ (bits >>> 16), 0x85_EB_CA_6B);
	bits = Math.imul(bits ^ (bits >>> 13), 0xC2_B2_AE_35);
	return (bits ^ (bits >>> 16)) >>> 0;
}

/* eslint-enable no-bitwise */

function compareText(a: string, b: string): number {
	return a < b ? -1 : 1;
}
