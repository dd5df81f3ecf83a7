import type {GroupPrimary, MemberNews} from '@sapphirefall/decisions';

/** What one host tells another in an exchange. */
export type ExchangeContent = {
	readonly id: string;
	readonly incarnation: number;
	readonly version: number;
	/** Age in milliseconds of the proof that the version was the newest. */
	readonly age: number;
	/** JSON of the configuration; empty when the other side is not known to be behind. */
	readonly configuration: string;
	/** Digest over all primaries that are known. */
	readonly digest: string;
	/** Empty when the other side's digest is not known to differ. */
	readonly primaries: readonly GroupPrimary[];
	readonly news: readonly MemberNews[];
	/** Hybrid logical time. */
	readonly time: bigint;
};
