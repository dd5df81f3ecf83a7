import type {Instant} from '../instant.ts';

/** The right to send one statement to a cold instance. */
export type Permit = {
	/** When the host requested it; its lifetime counts from then, so that it ends before the allocator expects. */
	readonly requestedAt: Instant;
};
