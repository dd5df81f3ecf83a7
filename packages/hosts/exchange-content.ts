import type {GroupPrimary, MemberUpdate} from '@sapphirefall/decisions';

/** What one host tells another in an exchange. */
export type ExchangeContent = {
	readonly id: string;
	readonly incarnation: number;
	readonly version: number;
	/** Version of the table row that holds the configuration's name and the roster. */
	readonly head: number;
	/** Age in milliseconds of the proof that the head was the newest. */
	readonly age: number;
	/** Text of configuration and roster; empty when the other side is not known to be behind. */
	readonly fleet: string;
	/** The acceptors' word on the head, by age in milliseconds. */
	readonly statements: ReadonlyArray<{readonly id: string; readonly age: number}>;
	/** Digest over all primaries that are known. */
	readonly digest: string;
	/** Empty when the other side's digest is not known to differ. */
	readonly primaries: readonly GroupPrimary[];
	readonly news: readonly MemberUpdate[];
	/** Hybrid logical time. */
	readonly time: bigint;
};
