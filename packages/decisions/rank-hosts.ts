import {createHash} from 'node:crypto';

/**
 * Ranks candidates for a resource by rendezvous hashing (highest random weight, Thaler and Ravishankar 1998).
 *
 * Hosts that know the same candidates find the same order, and a candidate that leaves does not change the order
 * of the others.
 *
 * @param resource Name of what the candidates are ranked for; every host must use the same name.
 * @param candidates Identifiers of the candidates.
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

/** Maximum number of cached digests; more than a fleet has hosts and databases. */
const maxCachedDigests = 50_000;

const digests = new Map<string, number>();

/** Hashes a text to 32 bits, and caches the digest. */
function hashText(text: string): number {
	const known = digests.get(text);
	if (known !== undefined) {
		return known;
	}

	if (digests.size >= maxCachedDigests) {
		digests.clear();
	}

	const digest = createHash('sha256').update(text).digest().readUInt32BE(0);
	digests.set(text, digest);
	return digest;
}

/* eslint-disable no-bitwise -- a hash works on bits */

/** Combines two digests into a weight with the finalizer of MurmurHash3 (Appleby 2011). */
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
