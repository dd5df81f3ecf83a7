import type {Change} from '@sapphirefall/decisions';

/** A change as it came, or what is wrong with it. */
export type DecodedChange =
	| {readonly kind: 'change'; readonly change: Change}
	| {readonly kind: 'invalid'; readonly reason: string};
