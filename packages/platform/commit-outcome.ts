import type {FleetConfiguration, ResultCode} from '@sapphirefall/decisions';

/** Outcome of an operator's change. A `committed` change is durable. `version` is the present one, or 0 when unknown. */
export type CommitOutcome =
	| {readonly kind: 'committed'; readonly fleet: FleetConfiguration}
	| {readonly kind: 'refused'; readonly code: ResultCode; readonly reason: string; readonly version: number};
