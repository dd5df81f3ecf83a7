import type {SessionClaim} from '@sapphirefall/decisions';

/** Writes and reads session tokens. */
export type SessionCodec = {
	readonly encode: (claim: SessionClaim) => string;
	/** Undefined when the token is not one of this fleet's. */
	readonly decode: (token: string) => SessionClaim | undefined;
};
