import type {Host} from './host.ts';
import type {Member} from './member.ts';

/** The hosts that the platform lists, and their liveness by exchanges and member updates. */
export type Membership = {
	readonly self: string;
	readonly incarnation: number;
	readonly hosts: ReadonlyMap<string, Host>;
	readonly members: ReadonlyMap<string, Member>;
};
