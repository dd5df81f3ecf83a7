import type {Host} from './host.ts';
import type {Member} from './member.ts';

/** The platform's list joined with what hosts tell each other. */
export type Membership = {
	readonly self: string;
	readonly incarnation: number;
	readonly hosts: ReadonlyMap<string, Host>;
	readonly members: ReadonlyMap<string, Member>;
};
