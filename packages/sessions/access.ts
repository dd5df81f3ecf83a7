import type {FailureCode} from './failure-code.ts';
import type {AllowedRegions} from './regions/allowed-regions.ts';
import type {Route} from './route.ts';

/** Result of `findAccess`: the route and workspace of an allowed caller, or the reason for the refusal. */
export type Access =
	| {
		readonly kind: 'allowed';
		readonly route: Route;
		readonly workspace: string;
		readonly version: number;
		/** Regions in which the caller's statements may run. */
		readonly allowedRegions?: AllowedRegions;
	}
	| {readonly kind: 'denied'; readonly code: FailureCode; readonly reason: string};
