import type {FailureCode} from './failure-code.ts';
import type {Route} from './route.ts';

/** Whether a caller may use a database now. */
export type Access =
	| {readonly kind: 'allowed'; readonly route: Route; readonly workspace: string; readonly version: number}
	| {readonly kind: 'denied'; readonly code: FailureCode; readonly reason: string};
