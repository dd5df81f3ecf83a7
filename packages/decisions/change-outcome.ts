import type {Configuration} from './configuration.ts';
import type {ResultCode} from './result-code.ts';

/** The outcome of a change: the next version of the configuration, or the code and reason of the refusal. */
export type ChangeOutcome =
	| {readonly kind: 'changed'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly code: ResultCode; readonly reason: string};
