import type {GroupRow} from './group-row.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {Versioned} from './versioned.ts';

/** The fence as it stands in the store. */
export type Fence = {
	readonly row: Versioned<GroupRow>;
	readonly hosts: readonly HostRow[];
	/** When the store had the fence at the latest. */
	readonly at: Instant;
};
