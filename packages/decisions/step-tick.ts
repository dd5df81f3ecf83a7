import {chooseExchangePartners} from './choose-exchange-partners.ts';
import {chooseRoster} from './choose-roster.ts';
import {listLiveHosts} from './list-live-hosts.ts';
import {rankHosts} from './rank-hosts.ts';
import {stepGroupFailover} from './step-group-failover.ts';
import type {GroupState} from './group-state.ts';
import type {HostEffect} from './host-effect.ts';
import type {HostSettings} from './host-settings.ts';
import type {HostState} from './host-state.ts';
import type {HostStep} from './host-step.ts';

type Input = {
	readonly settings: HostSettings;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/** Number of hosts in each zone that read the configuration's version regularly. */
const versionReadersPerZone = 2;

/** Advances a host's control loop by time: orders the exchanges, reads, roster changes and probes that are due. */
export function stepTick(state: HostState, input: Input): HostStep {
	const exchanged = scheduleExchange(state, input);
	const read = scheduleReads(exchanged.state, input);
	const roster = scheduleRoster(read.state, input);
	const steps: HostStep[] = [exchanged, read, roster];
	const groups = new Map(roster.state.groups);
	let isChanged = false;
	for (const [database, group] of groups) {
		const ticked = tickGroup(group, input);
		steps.push({state: roster.state, effects: ticked.effects});
		if (ticked.group !== group) {
			isChanged = true;
			groups.set(database, ticked.group);
		}
	}

	return {
		state: isChanged ? {...roster.state, groups} : roster.state,
		effects: steps.flatMap(({effects}) => effects),
	};
}

/** Probes a group that is watched or in use if a probe is due, and advances its failover. */
function tickGroup(group: GroupState, {settings, now}: Input) {
	const isInUse = now - group.lastRequestAt <= settings.demandSpan;
	const isDue = (group.watch !== undefined || isInUse) && now >= group.nextProbeAt;
	const probed = isDue ? {...group, nextProbeAt: now + settings.probeInterval} : group;
	const probe: readonly HostEffect[] = isDue ? [{kind: 'probe', database: group.view.group.database}] : [];
	const step = stepGroupFailover(probed, {event: {kind: 'tick'}, settings, now});
	return {group: step.group, effects: [...probe, ...step.effects]};
}

function scheduleExchange(state: HostState, {settings, now}: Input): HostStep {
	if (now < state.nextExchangeAt) {
		return {state, effects: []};
	}

	const partners = chooseExchangePartners(state.membership, state.exchangeRound);
	return {
		state: {...state, exchangeRound: state.exchangeRound + 1, nextExchangeAt: now + settings.exchangeInterval},
		effects: partners.map(({id}) => ({kind: 'exchange', partner: id})),
	};
}

function scheduleReads(state: HostState, {settings, now}: Input): HostStep {
	const effects: HostEffect[] = [];
	let next = state;
	if (now >= state.nextFleetReadAt) {
		effects.push({kind: 'readFleet'});
		next = {...next, nextFleetReadAt: now + settings.fleetInterval};
	}

	if (now >= state.nextVersionReadAt) {
		const isDue = now - state.tableConfirmedAt >= settings.versionFallback || isVersionReader(state);
		effects.push(...(isDue ? [{kind: 'readVersion'} as const] : []));
		next = {...next, nextVersionReadAt: now + settings.versionInterval};
	}

	return {state: next, effects};
}

/** Interval between two checks of whether the roster still matches the known hosts. */
const rosterCheckIntervalMs = 200;

function scheduleRoster(state: HostState, {now}: Input): HostStep {
	if (now < state.nextRosterCheckAt) {
		return {state, effects: []};
	}

	const roster = chooseRoster(state, now);
	return {
		state: {...state, nextRosterCheckAt: now + rosterCheckIntervalMs},
		effects: roster === undefined ? [] : [{kind: 'changeRoster', roster}],
	};
}

/** Returns whether this host is one of those that read the configuration's version for its zone. */
function isVersionReader(state: HostState): boolean {
	const zoneHosts = listLiveHosts(state.membership).filter(({zone}) => zone === state.zone).map(({id}) => id);
	return rankHosts(`configuration/${state.zone}`, zoneHosts)
		.slice(0, versionReadersPerZone)
		.includes(state.membership.self);
}
