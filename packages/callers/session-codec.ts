import type {SessionClaim} from '@sapphirefall/decisions';

/** Encodes and decodes session tokens. */
export type SessionCodec = {
	readonly encode: (claim: SessionClaim) => string;
	/** Returns undefined if the token was not issued by this fleet, or by a version whose claims this one cannot read. */
	readonly decode: (token: string) => SessionClaim | undefined;
};
