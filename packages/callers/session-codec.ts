import type {SessionClaim} from '@sapphirefall/decisions';

/** Writes and reads session tokens. */
export type SessionCodec = {
	readonly write: (claim: SessionClaim) => string;
	/** Undefined when the token is not one of this fleet's. */
	readonly read: (token: string) => SessionClaim | undefined;
};
