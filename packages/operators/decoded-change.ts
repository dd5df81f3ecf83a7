import type {Change} from '@sapphirefall/decisions';

/** A decoded change, or the reason why it is invalid. */
export type DecodedChange =
	| {readonly kind: 'change'; readonly change: Change}
	| {readonly kind: 'invalid'; readonly reason: string};
