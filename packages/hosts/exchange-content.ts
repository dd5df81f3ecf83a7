import type {GroupPrimary, MemberNews} from '@sapphirefall/decisions';

/** What one host tells another in an exchange. */
export type ExchangeContent = {
	readonly id: string;
	readonly incarnation: number;
	readonly configurationVersion: number;
	/** Version of the table row that holds the configuration's name and the roster. */
	readonly head: number;
	/** Age in milliseconds of the proof that the head was the newest. */
	readonly tableAgeMs: number;
	/** Text of configuration and roster; empty when the other side is not known to be behind. */
	readonly configurationText: string;
	/** The acceptors' word on the head, by age in milliseconds. */
	readonly confirmations: ReadonlyArray<{readonly id: string; readonly ageMs: number}>;
	/** Digest over all primaries that are known. */
	readonly primariesDigest: string;
	/** Empty when the other side's digest is not known to differ. */
	readonly primaries: readonly GroupPrimary[];
	readonly memberUpdates: readonly MemberNews[];
	/** Hybrid logical time. */
	readonly time: bigint;
};
