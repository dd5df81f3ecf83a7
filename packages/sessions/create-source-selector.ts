import {chooseSource} from './choose-source.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {SessionLog} from './session-log.ts';

type Options = {
	readonly self: string;
	readonly zone: string;
	readonly listHosts: () => readonly HostRow[];
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Selects the host from which this host gets the store's tables, and backs off from hosts whose data is not fresh enough. */
type SourceSelector = {
	/** Returns the current source; this host itself when it is to read the store. */
	readonly choose: () => string;
	/** Avoids a source for a while because its data was not fresh enough, for longer each time. */
	readonly backOff: (source: string) => void;
	/** Resets the backoff of a source because its data was fresh enough. */
	readonly resetBackoff: (source: string) => void;
};

/** Milliseconds for which a source is avoided the first time, and the limit to which that time doubles. */
const backoffMs = {first: 2000, last: 10_000};

/** Creates a host's source selector; see `chooseSource` for the order of preference. */
export function createSourceSelector({
	self, zone, listHosts, now, log,
}: Options): SourceSelector {
	const avoidedUntil = new Map<string, number>();
	/** Milliseconds for which each source was last avoided, until its backoff is reset. */
	const lastBackoffMs = new Map<string, number>();
	let lastSource = '';

	return {
		choose() {
			const source = chooseSource({
				self, zone, hosts: listHosts(), avoidedUntil, now: now().steady,
			});
			if (source !== lastSource) {
				log.info({source, previous: lastSource}, 'store: The host switched to another source for the tables of the store.');
				lastSource = source;
			}

			return source;
		},
		backOff(source) {
			const span = Math.min(backoffMs.last, (lastBackoffMs.get(source) ?? backoffMs.first / 2) * 2);
			lastBackoffMs.set(source, span);
			avoidedUntil.set(source, now().steady + span);
			log.info({source, span}, 'store: The host avoids a source whose data is not fresh enough.');
		},
		resetBackoff(source) {
			lastBackoffMs.delete(source);
		},
	};
}
