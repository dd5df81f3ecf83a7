import type {InstanceRuntime} from '../instance-runtime.ts';
import type {Instant} from '../instant.ts';
import type {SessionLog} from '../session-log.ts';
import type {Evacuation} from './evacuation.ts';
import type {Evacuations} from './evacuations.ts';
import {findZonePhase} from './find-zone-phase.ts';
import {updateEvacuations} from './update-evacuations.ts';

type Options = {
	/** Milliseconds after the acknowledgement of an evacuation from which on nothing may be sent to the zone. */
	readonly limitMs: number;
	/** Lists the instances that this host uses. */
	readonly listInstances: () => readonly InstanceRuntime[];
	/** Called with each instance whose zone was taken back. */
	readonly onReturned: (instance: InstanceRuntime) => void;
	/** Called with the number of evacuated zones when it may have changed. */
	readonly onCount: (count: number) => void;
	readonly now: () => Instant;
	readonly log: Pick<SessionLog, 'info'>;
};

/** Largest number of zones that a log line names. */
const maxNamedZones = 10;

/** Creates the evacuations of a host, none at first; see `Evacuations`. */
export function createEvacuations({
	limitMs, listInstances, onReturned, onCount, now, log,
}: Options): Evacuations {
	let known: ReadonlyMap<string, Evacuation> = new Map();

	const logChange = (zones: readonly string[], line: string) => {
		if (zones.length > 0) {
			log.info({zones: zones.slice(0, maxNamedZones), count: zones.length, evacuated: known.size}, `evacuation: ${line}`);
		}
	};

	const notifyReturned = (zones: ReadonlySet<string>) => {
		for (const instance of listInstances()) {
			if (zones.has(instance.listed().zone)) {
				onReturned(instance);
			}
		}
	};

	return {
		update(zones, confirmedBefore) {
			const before = known;
			known = updateEvacuations(before, {zones, confirmedBefore});
			const added = [...known.keys()].filter(zone => !before.has(zone));
			const returned = [...before.keys()].filter(zone => !known.has(zone));
			logChange(added, 'Operators evacuated zones; the host begins nothing more at their instances.');
			logChange(returned, 'Operators took zones back; the host uses their instances again.');
			if (added.length > 0 || returned.length > 0) {
				onCount(known.size);
			}

			if (returned.length > 0) {
				notifyReturned(new Set(returned));
			}
		},
		findPhase(zone) {
			const evacuation = known.get(zone);
			return evacuation === undefined ? 'open' : findZonePhase(evacuation, {limitMs, now: now()});
		},
		isEvacuated: zone => known.has(zone),
	};
}
