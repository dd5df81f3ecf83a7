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

/** From which host this one learns what the store holds, and which it leaves alone for a while. */
type SourceSelector = {
	/** The present source; this host itself when it is to read the store. */
	readonly choose: () => string;
	/** Takes note that a source did not know enough. */
	readonly backOff: (source: string) => void;
	/** Takes note that a source knew enough. */
	readonly resetBackoff: (source: string) => void;
};

/** Milliseconds for which a source that does not know enough is not asked: the first time, and at the most. */
const avoidance = {first: 2000, last: 10_000};

/** Creates a host's choice of a source; see `chooseSource`. */
export function createSourceSelector({
	self, zone, listHosts, now, log,
}: Options): SourceSelector {
	const avoidedUntil = new Map<string, number>();
	/** For how long sources were avoided last; forgotten once they know enough. */
	const lastSpans = new Map<string, number>();
	let last = '';

	return {
		choose() {
			const source = chooseSource({
				self, zone, hosts: listHosts(), avoidedUntil, now: now().steady,
			});
			if (source !== last) {
				log.info({source, previous: last}, 'store: What the store holds is learned from another source.');
				last = source;
			}

			return source;
		},
		backOff(source) {
			const span = Math.min(avoidance.last, (lastSpans.get(source) ?? avoidance.first / 2) * 2);
			lastSpans.set(source, span);
			avoidedUntil.set(source, now().steady + span);
			log.info({source, span}, 'store: A source that does not know enough is not asked for a while.');
		},
		resetBackoff(source) {
			lastSpans.delete(source);
		},
	};
}
