import type {Instant} from '../instant.ts';
import type {ZonePhase} from './zone-phase.ts';

/** The evacuations of availability zones that a host knows. */
export type Evacuations = {
	/**
	 * Applies the zones that the operators' rows name. `confirmedBefore` is the moment as of which the store confirmed the rows
	 * that the host had before; undefined if it had none.
	 */
	readonly update: (zones: readonly string[], confirmedBefore: Instant | undefined) => void;
	readonly findPhase: (zone: string) => ZonePhase;
	readonly isEvacuated: (zone: string) => boolean;
};
