import {updateGroup} from './_update-group.ts';
import {adoptFleetConfiguration} from './adopt-fleet-configuration.ts';
import {adoptPrimary} from './adopt-primary.ts';
import {applyConfirmations} from './apply-confirmations.ts';
import {applyExchange} from './apply-exchange.ts';
import {applyHostList} from './apply-host-list.ts';
import {applyMemberUpdates} from './apply-member-updates.ts';
import {applyReport} from './apply-report.ts';
import {assignWatch} from './assign-watch.ts';
import {createGroupView} from './create-group-view.ts';
import {listLiveHosts} from './list-live-hosts.ts';
import {stepGroupFailover} from './step-group-failover.ts';
import {stepTick} from './step-tick.ts';
import type {GroupState} from './group-state.ts';
import type {Group} from './group.ts';
import type {HostEffect} from './host-effect.ts';
import type {HostEvent} from './host-event.ts';
import type {HostSettings} from './host-settings.ts';
import type {HostState} from './host-state.ts';
import type {HostStep} from './host-step.ts';
import type {Membership} from './membership.ts';

type Input = {
	readonly event: HostEvent;
	readonly settings: HostSettings;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/**
 * Advances a host's control loop by one event.
 *
 * @param state The state so far.
 * @param input The event, the settings, and monotonic milliseconds.
 * @returns The state afterwards and the actions that follow.
 */
export function stepHost(state: HostState, input: Input): HostStep {
	const {event} = input;
	switch (event.kind) {
		case 'tick': {
			return stepTick(state, input);
		}

		case 'fleetRead': {
			const membership = applyHostList(state.membership, event.hosts);
			const groups = mergeGroups(state.groups, event.groups);
			return {state: assignWatches({...state, groups}, {membership, now: input.now}), effects: []};
		}

		case 'configurationRead': {
			return adoptFleetConfiguration(state, {...event, now: input.now});
		}

		case 'exchangeFailed': {
			const membership = applyExchange(state.membership, {id: event.id, incarnation: undefined, now: input.now});
			return {state: assignWatches(state, {membership, now: input.now}), effects: []};
		}

		case 'exchanged': {
			return stepExchanged(state, {event, now: input.now});
		}

		case 'groupRequested': {
			return {state: updateGroup(state, event.database, group => ({...group, lastRequestAt: input.now})), effects: []};
		}

		case 'reported': {
			return stepReported(state, {event, now: input.now});
		}

		case 'failover': {
			return stepFailoverEvent(state, {...input, event});
		}

		case 'commitChanged': {
			return {state: {...state, hasPendingCommit: event.hasPendingCommit}, effects: []};
		}

		case 'drainStarted': {
			return {state: {...state, isDraining: true}, effects: []};
		}
	}
}

type EventOf<Kind extends HostEvent['kind']> = Extract<HostEvent, {readonly kind: Kind}>;

/** Merges the platform's groups into the known ones: updates their instances, and keeps groups that are not listed. */
function mergeGroups(
	known: ReadonlyMap<string, GroupState>,
	listed: readonly Group[],
): ReadonlyMap<string, GroupState> {
	const groups = new Map(known);
	for (const group of listed) {
		const old = groups.get(group.database);
		groups.set(group.database, old === undefined
			? createGroupState(group)
			: {...old, view: {...old.view, group}});
	}

	return groups;
}

function createGroupState(group: Group): GroupState {
	return {
		view: createGroupView(group), failover: {kind: 'watching'}, watch: undefined, lastRequestAt: -Infinity, nextProbeAt: 0,
	};
}

/** Reassigns the watch roles; needed when the set of live hosts or of groups may have changed. */
function assignWatches(
	state: HostState,
	options: {readonly membership: Membership; readonly now: number},
): HostState {
	const live = listLiveHosts(options.membership);
	const listed = [...options.membership.hosts.values()];
	const {self} = options.membership;
	const groups = new Map([...state.groups].map(([database, group]) => [database, {
		...group,
		watch: assignWatch(group.view.group, {
			self, live, listed, present: group.watch, now: options.now,
		}),
	}]));
	return {...state, membership: options.membership, groups};
}

function stepFailoverEvent(
	state: HostState,
	{event, settings, now}: {readonly event: EventOf<'failover'>; readonly settings: HostSettings; readonly now: number},
): HostStep {
	const known = state.groups.get(event.database);
	if (known === undefined) {
		return {state, effects: []};
	}

	const {group, effects} = stepGroupFailover(known, {event: event.event, settings, now});
	return {state: group === known ? state : updateGroup(state, event.database, () => group), effects};
}

function stepExchanged(
	state: HostState,
	{event, now}: {readonly event: EventOf<'exchanged'>; readonly now: number},
): HostStep {
	const exchanged = applyExchange(state.membership, {id: event.id, incarnation: event.incarnation, now});
	const membership = applyMemberUpdates(exchanged, {memberUpdates: event.memberUpdates, now});
	const adopted = adoptFleetConfiguration(state, {
		fleet: event.fleet ?? state,
		confirmedAt: event.head >= state.roster.head ? event.confirmedAt : -Infinity,
		now,
	});
	const hasSameHead = event.head === adopted.state.roster.head;
	const confirmations = hasSameHead
		? applyConfirmations(adopted.state.confirmations, event.confirmations)
		: adopted.state.confirmations;
	const primariesStep = adoptPrimaries({...adopted.state, confirmations}, event);
	const peerVersions = new Map(state.peerVersions).set(event.id, event.version);
	const isChanged = listLiveHosts(membership).length !== listLiveHosts(state.membership).length;
	const next = {...primariesStep.state, membership, peerVersions};
	return {
		state: isChanged ? assignWatches(next, {membership, now}) : next,
		effects: [...adopted.effects, ...primariesStep.effects],
	};
}

function adoptPrimaries(state: HostState, event: EventOf<'exchanged'>): HostStep {
	let next = state;
	const effects: HostEffect[] = [];
	for (const primary of event.primaries) {
		const old = next.groups.get(primary.database)?.view;
		next = updateGroup(next, primary.database, group => ({...group, view: adoptPrimary(group.view, primary)}));
		if (next.groups.get(primary.database)?.view !== old) {
			effects.push({kind: 'publishPrimary', ...primary});
		}
	}

	return {state: next, effects};
}

function stepReported(
	state: HostState,
	{event, now}: {readonly event: EventOf<'reported'>; readonly now: number},
): HostStep {
	const old = state.groups.get(event.database);
	if (old === undefined) {
		return {state, effects: []};
	}

	const view = applyReport(old.view, {report: event.report, sentAt: event.sentAt, now});
	const next = updateGroup(state, event.database, group => ({...group, view}));
	const isNew = view.primary !== undefined && view.term > old.view.term;
	return {
		state: next,
		effects: isNew
			? [{
				kind: 'publishPrimary', database: event.database, term: view.term, instance: view.primary,
			}]
			: [],
	};
}
