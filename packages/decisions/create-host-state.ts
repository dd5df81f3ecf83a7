import {createConfiguration} from './create-configuration.ts';
import type {Host} from './host.ts';
import type {HostState} from './host-state.ts';

/**
 * Creates the state of a host that has just started and knows only itself.
 *
 * @param host This host.
 * @param incarnation A number higher than at any earlier start of the host, such as the wall-clock time.
 */
export function createHostState(host: Host, incarnation: number): HostState {
	return {
		zone: host.zone,
		membership: {
			self: host.id, incarnation, hosts: new Map([[host.id, host]]), members: new Map(),
		},
		groups: new Map(),
		configuration: createConfiguration(),
		roster: {
			head: 0, epoch: 0, hosts: [], homes: [], acceptors: [],
		},
		homesKnownAt: 0,
		rosterHistory: [],
		tableConfirmedAt: -Infinity,
		confirmations: new Map(),
		confirmsFrom: Infinity,
		hasPendingCommit: false,
		peerVersions: new Map(),
		isDraining: false,
		exchangeRound: 0,
		nextExchangeAt: 0,
		nextVersionReadAt: 0,
		nextFleetReadAt: 0,
		nextRosterCheckAt: 0,
	};
}
