import type {Configuration, ResultCode} from '@sapphirefall/decisions';

/** What became of an operator's change. `committed` means accepted for good. */
export type CommitOutcome =
	| {readonly kind: 'committed'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly code: ResultCode; readonly reason: string; readonly version: number};
