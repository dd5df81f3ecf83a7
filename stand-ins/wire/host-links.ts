import type {Link} from '../links/link.ts';

/** The relays through which a host reaches the platform. */
export type HostLinks = {
	readonly store: Link;
	readonly cloudApi: Link;
};
