import {adoptPrimary} from './adopt-primary.ts';
import {applyExchange} from './apply-exchange.ts';
import {applyFleet} from './apply-fleet.ts';
import {applyNews} from './apply-news.ts';
import {applyReport} from './apply-report.ts';
import {applyStatements} from './apply-statements.ts';
import {assignWatch} from './assign-watch.ts';
import {choosePartners} from './choose-partners.ts';
import {chooseRoster} from './choose-roster.ts';
import {createGroupView} from './create-group-view.ts';
import {listLiveHosts} from './list-live-hosts.ts';
import {rankHosts} from './rank-hosts.ts';
import {stepFailover} from './step-failover.ts';
import type {FleetConfiguration} from './fleet-configuration.ts';
import type {FailoverEvent} from './failover-event.ts';
import type {GroupControl} from './group-control.ts';
import type {Group} from './group.ts';
import type {HostEffect} from './host-effect.ts';
import type {HostEvent} from './host-event.ts';
import type {HostSettings} from './host-settings.ts';
import type {HostState} from './host-state.ts';
import type {Membership} from './membership.ts';

type Step = {readonly state: HostState; readonly effects: readonly HostEffect[]};

type Input = {
	readonly event: HostEvent;
	readonly settings: HostSettings;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/** Hosts of a zone that read the configuration's version for it. */
const readersPerZone = 2;

/**
 * Moves a host's control loop by one event.
 *
 * @param state The state so far.
 * @param input The event, the settings, and monotonic milliseconds.
 * @returns The state afterwards and what to do.
 */
export function stepHost(state: HostState, input: Input): Step {
	const {event} = input;
	switch (event.kind) {
		case 'tick': {
			return stepTick(state, input);
		}

		case 'fleetRead': {
			const membership = applyFleet(state.membership, event.hosts);
			const groups = mergeGroups(state.groups, event.groups);
			return {state: assignWatches({...state, groups}, {membership, now: input.now}), effects: []};
		}

		case 'configurationRead': {
			return adoptFleet(state, {...event, now: input.now});
		}

		case 'exchangeFailed': {
			const membership = applyExchange(state.membership, {id: event.id, incarnation: undefined, now: input.now});
			return {state: assignWatches(state, {membership, now: input.now}), effects: []};
		}

		case 'exchanged': {
			return stepExchanged(state, {event, now: input.now});
		}

		case 'demanded': {
			return {state: updateGroup(state, event.database, group => ({...group, demandedAt: input.now})), effects: []};
		}

		case 'reported': {
			return stepReported(state, {event, now: input.now});
		}

		case 'failover': {
			return stepGroupFailover(state, {...input, database: event.database, event: event.event});
		}

		case 'commitChanged': {
			return {state: {...state, isCommitting: event.isCommitting}, effects: []};
		}

		case 'drained': {
			return {state: {...state, isDraining: true}, effects: []};
		}
	}
}

type EventOf<Kind extends HostEvent['kind']> = Extract<HostEvent, {readonly kind: Kind}>;

function updateGroup(
	state: HostState,
	database: string,
	update: (group: GroupControl) => GroupControl,
): HostState {
	const group = state.groups.get(database);
	return group === undefined ? state : {...state, groups: new Map(state.groups).set(database, update(group))};
}

/** Joins the platform's groups with what is known of them; instances may come and go, groups that are not listed stay. */
function mergeGroups(
	known: ReadonlyMap<string, GroupControl>,
	listed: readonly Group[],
): ReadonlyMap<string, GroupControl> {
	const groups = new Map(known);
	for (const group of listed) {
		const old = groups.get(group.database);
		groups.set(group.database, old === undefined
			? createControl(group)
			: {...old, view: {...old.view, group}});
	}

	return groups;
}

function createControl(group: Group): GroupControl {
	return {
		view: createGroupView(group), failover: {kind: 'watching'}, watch: undefined, demandedAt: -Infinity, nextProbeAt: 0,
	};
}

/** Assigns watches anew when the set of live hosts or of groups may have changed. */
function assignWatches(
	state: HostState,
	options: {readonly membership: Membership; readonly now: number},
): HostState {
	const live = listLiveHosts(options.membership);
	const {self} = options.membership;
	const groups = new Map([...state.groups].map(([database, group]) => [database, {
		...group,
		watch: assignWatch(group.view.group, {
			self, live, present: group.watch, now: options.now,
		}),
	}]));
	return {...state, membership: options.membership, groups};
}

/** Adopts a configuration and a roster that are not older than the known ones. */
function adoptFleet(
	state: HostState,
	read: {readonly fleet: FleetConfiguration; readonly provenAt: number; readonly now: number},
): Step {
	const {configuration, roster} = read.fleet;
	if (roster.head < state.roster.head) {
		return {state, effects: []};
	}

	const provenAt = Math.max(state.provenAt, read.provenAt);
	if (roster.head === state.roster.head) {
		return {state: {...state, provenAt}, effects: []};
	}

	const hasNewHomes = roster.homes.join(' ') !== state.roster.homes.join(' ');
	const isNew = configuration.version > state.configuration.version;
	return {
		state: {
			...state,
			configuration,
			roster,
			homesKnownAt: hasNewHomes ? read.now : state.homesKnownAt,
			rosterHistory: extendRosterHistory(state.rosterHistory, {hosts: roster.hosts, at: read.now}),
			provenAt,
			statements: new Map(),
		},
		effects: isNew ? [{kind: 'tellConfiguration', version: configuration.version}] : [],
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

function stepExchanged(
	state: HostState,
	{event, now}: {readonly event: EventOf<'exchanged'>; readonly now: number},
): Step {
	const heard = applyExchange(state.membership, {id: event.id, incarnation: event.incarnation, now});
	const membership = applyNews(heard, {news: event.news, now});
	const adopted = adoptFleet(state, {
		fleet: event.fleet ?? state,
		provenAt: event.head >= state.roster.head ? event.provenAt : -Infinity,
		now,
	});
	const hasSameHead = event.head === adopted.state.roster.head;
	const statements = hasSameHead
		? applyStatements(adopted.state.statements, event.statements)
		: adopted.state.statements;
	const told = adoptPrimaries({...adopted.state, statements}, event);
	const versions = new Map(state.versions).set(event.id, event.version);
	const isChanged = listLiveHosts(membership).length !== listLiveHosts(state.membership).length;
	const next = {...told.state, membership, versions};
	return {
		state: isChanged ? assignWatches(next, {membership, now}) : next,
		effects: [...adopted.effects, ...told.effects],
	};
}

function adoptPrimaries(state: HostState, event: EventOf<'exchanged'>): Step {
	let next = state;
	const effects: HostEffect[] = [];
	for (const primary of event.primaries) {
		const old = next.groups.get(primary.database)?.view;
		next = updateGroup(next, primary.database, group => ({...group, view: adoptPrimary(group.view, primary)}));
		if (next.groups.get(primary.database)?.view !== old) {
			effects.push({kind: 'tellPrimary', ...primary});
		}
	}

	return {state: next, effects};
}

function stepReported(
	state: HostState,
	{event, now}: {readonly event: EventOf<'reported'>; readonly now: number},
): Step {
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
				kind: 'tellPrimary', database: event.database, term: view.term, instance: view.primary,
			}]
			: [],
	};
}

function stepGroupFailover(
	state: HostState,
	input: {
		readonly database: string;
		readonly event: FailoverEvent;
		readonly settings: HostSettings;
		readonly now: number;
	},
): Step {
	const group = state.groups.get(input.database);
	if (group?.watch === undefined) {
		return {state, effects: []};
	}

	const {state: failover, effects} = stepFailover(group.failover, {
		event: input.event,
		view: group.view,
		settings: input.settings.failover,
		watchedSince: group.watch.since,
		rank: group.watch.rank,
		needsAgreement: group.watch.others.length > 0,
		now: input.now,
	});
	return {
		state: failover === group.failover ? state : updateGroup(state, input.database, old => ({...old, failover})),
		effects: effects.map(effect => ({kind: 'failover', database: input.database, effect})),
	};
}

function stepTick(state: HostState, input: Input): Step {
	const exchanged = scheduleExchange(state, input);
	const read = scheduleReads(exchanged.state, input);
	const roster = scheduleRoster(read.state, input);
	const steps: Step[] = [exchanged, read, roster];
	let next = roster.state;
	for (const [database, group] of state.groups) {
		const isWatched = group.watch !== undefined;
		const isUsed = input.now - group.demandedAt <= input.settings.demandSpan;
		if ((isWatched || isUsed) && input.now >= group.nextProbeAt) {
			const nextProbeAt = input.now + input.settings.probeInterval;
			next = updateGroup(next, database, old => ({...old, nextProbeAt}));
			steps.push({state: next, effects: [{kind: 'probe', database}]});
		}

		if (isWatched) {
			const step = stepGroupFailover(next, {
				database, event: {kind: 'tick'}, settings: input.settings, now: input.now,
			});
			next = step.state;
			steps.push(step);
		}
	}

	return {state: next, effects: steps.flatMap(({effects}) => effects)};
}

function scheduleExchange(state: HostState, {settings, now}: Input): Step {
	if (now < state.nextExchangeAt) {
		return {state, effects: []};
	}

	const partners = choosePartners(state.membership, state.round);
	return {
		state: {...state, round: state.round + 1, nextExchangeAt: now + settings.exchangeInterval},
		effects: partners.map(({id}) => ({kind: 'exchange', partner: id})),
	};
}

function scheduleReads(state: HostState, {settings, now}: Input): Step {
	const effects: HostEffect[] = [];
	let next = state;
	if (now >= state.nextFleetReadAt) {
		effects.push({kind: 'readFleet'});
		next = {...next, nextFleetReadAt: now + settings.fleetInterval};
	}

	if (now >= state.nextVersionReadAt) {
		const isDue = now - state.provenAt >= settings.versionFallback || isReader(state);
		effects.push(...(isDue ? [{kind: 'readVersion'} as const] : []));
		next = {...next, nextVersionReadAt: now + settings.versionInterval};
	}

	return {state: next, effects};
}

/** Milliseconds between two looks at whether the roster still names the live hosts. */
const rosterInterval = 200;

function scheduleRoster(state: HostState, {now}: Input): Step {
	if (now < state.nextRosterCheckAt) {
		return {state, effects: []};
	}

	const roster = chooseRoster(state, now);
	return {
		state: {...state, nextRosterCheckAt: now + rosterInterval},
		effects: roster === undefined ? [] : [{kind: 'changeRoster', roster}],
	};
}

/** Tells whether this host reads the configuration's version for its zone. */
function isReader(state: HostState): boolean {
	const zoneHosts = listLiveHosts(state.membership).filter(({zone}) => zone === state.zone).map(({id}) => id);
	return rankHosts(`configuration/${state.zone}`, zoneHosts)
		.slice(0, readersPerZone)
		.includes(state.membership.self);
}
