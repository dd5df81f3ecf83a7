import type {FailureCode} from './failure-code.ts';
import type {Route} from './route.ts';

/** Result of `findAccess`: the route and workspace of an allowed caller, or the reason for the refusal. */
export type Access =
	| {readonly kind: 'allowed'; readonly route: Route; readonly workspace: string; readonly version: number}
	| {readonly kind: 'denied'; readonly code: FailureCode; readonly reason: string};
