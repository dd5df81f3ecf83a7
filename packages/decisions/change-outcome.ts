import type {Configuration} from './configuration.ts';
import type {ResultCode} from './result-code.ts';

/** What becomes of a change: the next configuration, or the reason against it. */
export type ChangeOutcome =
	| {readonly kind: 'changed'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly code: ResultCode; readonly reason: string};
