import type {Group} from './group.ts';
import type {InstanceView} from './instance-view.ts';
import type {TermProof} from './term-proof.ts';

/** A database group as one host sees it. */
export type GroupView = {
	readonly group: Group;
	/** Highest term in which a primary is known. */
	readonly term: number;
	/** Primary of that term; undefined while none is known. */
	readonly primary: string | undefined;
	readonly instances: ReadonlyMap<string, InstanceView>;
	/** The newest proof that a majority is in the term; undefined before the first. */
	readonly proof: TermProof | undefined;
	/** Recent proofs, oldest first; the staleness of replicas is computed from them. */
	readonly recentProofs: readonly TermProof[];
	/** Highest log point of the term that a majority has reported as applied. */
	readonly acknowledged: OptionalLogPoint;
};

type OptionalLogPoint = TermProof['point'] | undefined;
