import {pendingWriteTimeoutMs} from './pending-write-timeout-ms.ts';
import type {FleetConfiguration} from './fleet-configuration.ts';
import type {HostState} from './host-state.ts';
import type {HostStep} from './host-step.ts';

/**
 * Adopts a configuration and a roster that are not older than the known ones.
 *
 * @param state The state of the host.
 * @param read What was read, when it was the newest at the earliest, and monotonic milliseconds.
 */
export function adoptFleetConfiguration(
	state: HostState,
	read: {readonly fleet: FleetConfiguration; readonly confirmedAt: number; readonly now: number},
): HostStep {
	const {configuration, roster} = read.fleet;
	if (roster.head < state.roster.head) {
		return {state, effects: []};
	}

	const provenAt = Math.max(state.tableConfirmedAt, read.confirmedAt);
	if (roster.head === state.roster.head) {
		return {state: {...state, tableConfirmedAt: provenAt}, effects: []};
	}

	// A roster that was missed may have made another host the home meanwhile.
	const hasMissed = roster.epoch > state.roster.epoch + 1;
	const hasNewHomes = hasMissed || roster.homes.join(' ') !== state.roster.homes.join(' ');
	const isNew = configuration.version > state.configuration.version;
	return {
		state: {
			...state,
			configuration,
			roster,
			homesKnownAt: hasNewHomes ? read.now : state.homesKnownAt,
			rosterHistory: extendRosterHistory(state.rosterHistory, {hosts: roster.hosts, at: read.now}),
			tableConfirmedAt: provenAt,
			confirmsFrom: Math.min(state.confirmsFrom, read.now + pendingWriteTimeoutMs),
			confirmations: new Map(),
		},
		effects: isNew ? [{kind: 'publishConfiguration', version: configuration.version}] : [],
	};
}

/** Rosters that are remembered; more than change within the span of a reserve. */
const rostersKept = 1000;

function extendRosterHistory(
	history: HostState['rosterHistory'],
	next: HostState['rosterHistory'][number],
): HostState['rosterHistory'] {
	return history.at(-1)?.hosts.join(' ') === next.hosts.join(' ')
		? history
		: [...history, next].slice(-rostersKept);
}
