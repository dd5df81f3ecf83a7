import type {Configuration} from './configuration.ts';
import type {GroupControl} from './group-control.ts';
import type {Membership} from './membership.ts';

/** The state of a host's control loop. Times are monotonic milliseconds. */
export type HostState = {
	readonly zone: string;
	readonly membership: Membership;
	readonly groups: ReadonlyMap<string, GroupControl>;
	readonly configuration: Configuration;
	/** When the configuration was last proven to be the newest. */
	readonly provenAt: number;
	/** Configuration versions of the other hosts, as last heard. */
	readonly versions: ReadonlyMap<string, number>;
	readonly isDraining: boolean;
	readonly round: number;
	readonly nextExchangeAt: number;
	readonly nextVersionReadAt: number;
	readonly nextFleetReadAt: number;
};
