import type {GroupPrimary, MemberUpdate} from '@sapphirefall/decisions';

/** State that one host sends to another in an exchange. */
export type ExchangeContent = {
	/** Identifier of the sending host. */
	readonly id: string;
	/** Incarnation of the sending host. */
	readonly incarnation: number;
	readonly configurationVersion: number;
	/** Version of the table row that names the configuration and holds the roster. */
	readonly head: number;
	/** Milliseconds since the head was confirmed as the newest. */
	readonly tableAgeMs: number;
	/** Configuration and roster as text; empty unless the receiver is known to have an older head. */
	readonly configurationText: string;
	/** Confirmations of the acceptors that they had committed nothing newer than the head, with their age in milliseconds. */
	readonly confirmations: ReadonlyArray<{readonly id: string; readonly ageMs: number}>;
	/** Digest of all primaries that the sender knows. */
	readonly primariesDigest: string;
	/** Primaries that the sender knows; empty unless the receiver's digest is known to differ. */
	readonly primaries: readonly GroupPrimary[];
	/** Gossiped changes of hosts' liveness. */
	readonly memberUpdates: readonly MemberUpdate[];
	/** Hybrid logical time of the sender. */
	readonly time: bigint;
};
