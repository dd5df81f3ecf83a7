import {pendingWriteTimeoutMs} from './pending-write-timeout-ms.ts';
import type {FleetConfiguration} from './fleet-configuration.ts';
import type {HostState} from './host-state.ts';
import type {HostStep} from './host-step.ts';

/**
 * Adopts a configuration and a roster unless the known ones are newer.
 *
 * @param state The state of the host.
 * @param read The configuration and the roster, the moment as of which they are confirmed to be the newest, and the
 * present time; both times are monotonic milliseconds.
 */
export function adoptFleetConfiguration(
	state: HostState,
	read: {readonly fleet: FleetConfiguration; readonly confirmedAt: number; readonly now: number},
): HostStep {
	const {configuration, roster} = read.fleet;
	if (roster.head < state.roster.head) {
		return {state, effects: []};
	}

	const confirmedAt = Math.max(state.tableConfirmedAt, read.confirmedAt);
	if (roster.head === state.roster.head) {
		return {state: {...state, tableConfirmedAt: confirmedAt}, effects: []};
	}

	// A roster that this host has missed may have named other homes in the meantime.
	const hasMissedRoster = roster.epoch > state.roster.epoch + 1;
	const hasNewHomes = hasMissedRoster || roster.homes.join(' ') !== state.roster.homes.join(' ');
	const isNewVersion = configuration.version > state.configuration.version;
	return {
		state: {
			...state,
			configuration,
			roster,
			homesKnownAt: hasNewHomes ? read.now : state.homesKnownAt,
			rosterHistory: extendRosterHistory(state.rosterHistory, {hosts: roster.hosts, at: read.now}),
			tableConfirmedAt: confirmedAt,
			confirmsFrom: Math.min(state.confirmsFrom, read.now + pendingWriteTimeoutMs),
			confirmations: new Map(),
		},
		effects: isNewVersion ? [{kind: 'publishConfiguration', version: configuration.version}] : [],
	};
}

/** Rosters kept in the history; more than the fleet goes through in the time for which a reserve share may be used. */
const maxRosterHistory = 1000;

function extendRosterHistory(
	history: HostState['rosterHistory'],
	next: HostState['rosterHistory'][number],
): HostState['rosterHistory'] {
	return history.at(-1)?.hosts.join(' ') === next.hosts.join(' ')
		? history
		: [...history, next].slice(-maxRosterHistory);
}
