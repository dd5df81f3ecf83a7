import type {FleetConfiguration, ResultCode} from '@sapphirefall/decisions';

/** What became of an operator's change. `committed` means accepted for good. */
export type CommitOutcome =
	| {readonly kind: 'committed'; readonly fleet: FleetConfiguration}
	| {readonly kind: 'refused'; readonly code: ResultCode; readonly reason: string; readonly version: number};
