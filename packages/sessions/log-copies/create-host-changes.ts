import type {FleetRows} from '../fleet-rows.ts';

type Fleet = Pick<FleetRows, 'hosts' | 'goneHosts'>;

/** When processes of hosts have ended, as far as a host can know; times are in milliseconds of its steady clock. */
type HostChanges = {
	/** Applies the rows of the registered hosts. */
	readonly update: (fleet: Fleet, now: number) => void;
	/** Since when no process that was registered has ended; since the first rows, if none has. */
	readonly findUnchangedSince: () => number;
};

/** Creates the record of ended processes of hosts. Whatever ended before the first rows were read is not known. */
export function createHostChanges(): HostChanges {
	let processes: ReadonlySet<string> | undefined;
	let unchangedSince = Number.POSITIVE_INFINITY;
	return {
		update({hosts, goneHosts}, now) {
			const newer = new Set([...goneHosts.values(), ...hosts.values()].map(({name, incarnation}) => `${incarnation} ${name}`));
			if (processes === undefined || [...processes].some(known => !newer.has(known))) {
				unchangedSince = now;
			}

			processes = newer;
		},
		findUnchangedSince: () => unchangedSince,
	};
}
