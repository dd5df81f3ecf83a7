import {createHash} from 'node:crypto';
import type {GroupPrimary} from './group-primary.ts';

/** Hashes the known primaries, so that two hosts can find out cheaply whether they know the same ones. */
export function hashPrimaries(primaries: readonly GroupPrimary[]): string {
	const lines = primaries
		.map(({database, term, instance}) => `${database} ${term} ${instance}`)
		.toSorted()
		.join('\n');
	return createHash('sha256').update(lines).digest('base64').slice(0, digestLength);
}

/** Characters of the Base64 digest that hosts exchange and compare. */
const digestLength = 12;
