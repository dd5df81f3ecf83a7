import type {Instant} from '../instant.ts';
import type {Evacuation} from './evacuation.ts';

type Options = {
	/** Zones that the operators' rows name now. */
	readonly zones: Iterable<string>;
	/** Moment as of which the store confirmed the rows that the host had before; undefined if it had none. */
	readonly confirmedBefore: Instant | undefined;
};

/**
 * Updates the known evacuations when rows of the store arrive.
 *
 * An evacuation that the rows before did not name was acknowledged after the store confirmed those.
 */
export function updateEvacuations(known: ReadonlyMap<string, Evacuation>, {zones, confirmedBefore}: Options): ReadonlyMap<string, Evacuation> {
	return new Map([...zones].map(zone => [zone, known.get(zone) ?? {earliestAt: confirmedBefore}]));
}
