import type {Group} from './group.ts';
import type {InstanceView} from './instance-view.ts';
import type {TermProof} from './term-proof.ts';

/** What a host knows of a database group. */
export type GroupView = {
	readonly group: Group;
	/** Highest term in which a primary is known. */
	readonly term: number;
	/** Primary of that term; undefined while none is known. */
	readonly primary: string | undefined;
	readonly instances: ReadonlyMap<string, InstanceView>;
	/** The newest proof that a majority holds the term; undefined before the first. */
	readonly proof: TermProof | undefined;
	/** Recent proofs, oldest first, from which the age of replicas follows. */
	readonly recentProofs: readonly TermProof[];
	/** Highest point that a majority was seen to hold in the term. */
	readonly acknowledged: LogPointOrNone;
};

type LogPointOrNone = TermProof['point'] | undefined;
