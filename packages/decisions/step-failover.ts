import {comparePoints} from './compare-points.ts';
import {countMajority} from './count-majority.ts';
import {isSuspected} from './is-suspected.ts';
import type {FailoverEffect} from './failover-effect.ts';
import type {FailoverEvent} from './failover-event.ts';
import type {FailoverSettings} from './failover-settings.ts';
import type {FailoverState} from './failover-state.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceReport} from './instance-report.ts';

type Step = {readonly state: FailoverState; readonly effects: readonly FailoverEffect[]};

type Input = {
	readonly event: FailoverEvent;
	readonly view: GroupView;
	readonly settings: FailoverSettings;
	/** When this host began to watch the group. */
	readonly watchedSince: number;
	/** Number of watchers of the group that act before this one. */
	readonly rank: number;
	/** Whether a second zone must agree; false only when the fleet has hosts in one zone alone. */
	readonly needsConfirmation: boolean;
	readonly now: number;
};

/** Milliseconds after an instance's answer within which it is told to follow; one or two steps of the loop. */
const followWindow = 30;

const watching: FailoverState = {kind: 'watching'};

/**
 * Moves a watcher's failover of one group by one event.
 *
 * The order is: suspect by silence, agree with another zone, fence a majority in a new term, promote the
 * instance of that majority with the highest log end. No clock or lease is part of the argument that an
 * acknowledged write survives: two fenced majorities intersect, and an instance grants a term to one owner.
 *
 * @param state How far the failover is.
 * @param input What happened, the group, the failover times, this watcher's rank, and monotonic milliseconds.
 */
export function stepFailover(
	state: FailoverState,
	input: Input,
): Step {
	switch (state.kind) {
		case 'watching': {
			return stepWatching(input);
		}

		case 'confirming': {
			return stepAgreeing(state, input);
		}

		case 'fencing': {
			return stepFencing(state, input);
		}

		case 'promoting': {
			return stepPromoting(state, input);
		}

		case 'backingOff': {
			return {state: input.now >= state.until ? watching : state, effects: []};
		}
	}
}

function stepWatching(input: Input): Step {
	if (isSuspected(input.view, input)) {
		return {
			state: {kind: 'confirming', since: input.now, confirmedAt: input.needsConfirmation ? undefined : input.now},
			effects: [{kind: 'publishStep', step: 'suspected'}, {kind: 'askConfirmation', term: input.view.term}],
		};
	}

	return {state: watching, effects: listFollows(input)};
}

/** Orders instances that have just answered, and are behind the group's term or fenced in it, to follow the primary. */
function listFollows({view, now}: Input): readonly FailoverEffect[] {
	const {primary, term} = view;
	if (primary === undefined) {
		return [];
	}

	return [...view.instances.values()]
		.filter(({answeredAt}) => now - answeredAt <= followWindow)
		.map(({report}) => report)
		.filter(report => report.instance !== primary)
		.filter(report => report.term < term || (report.term === term && report.role !== 'replica'))
		.map(report => ({
			kind: 'follow', instance: report.instance, term, primary,
		}));
}

function stepAgreeing(
	state: Extract<FailoverState, {readonly kind: 'confirming'}>,
	input: Input,
): Step {
	const {event, now, settings} = input;
	if (!isSuspected(input.view, input)) {
		return {state: watching, effects: [{kind: 'publishStep', step: 'recovered'}]};
	}

	const confirmedAt = state.confirmedAt ?? (event.kind === 'confirmed' ? now : undefined);
	if (confirmedAt !== undefined && now >= confirmedAt + (input.rank * settings.stagger)) {
		return startFencing(input);
	}

	if (confirmedAt === undefined && now - state.since > settings.stepTimeout) {
		return {
			state: {...state, since: now},
			effects: [{kind: 'askConfirmation', term: input.view.term}],
		};
	}

	const isNew = confirmedAt !== undefined && state.confirmedAt === undefined;
	return {state: {...state, confirmedAt}, effects: isNew ? [{kind: 'publishStep', step: 'agreed'}] : []};
}

function startFencing(input: Input): Step {
	const {view, now} = input;
	const seen = [...view.instances.values()].map(({report}) => report.term);
	const term = Math.max(view.term, ...seen) + 1;
	return {
		state: {
			kind: 'fencing', since: now, term, granted: new Map(),
		},
		effects: view.group.instances.map(({id}) => ({kind: 'fence', instance: id, term})),
	};
}

function stepFencing(
	state: Extract<FailoverState, {readonly kind: 'fencing'}>,
	input: Input,
): Step {
	if (input.view.term >= state.term) {
		return {state: watching, effects: [{kind: 'publishStep', step: 'recovered'}]};
	}

	const {event} = input;
	if (event.kind === 'fenceAnswered' && event.term === state.term) {
		return countGrant(state, {answer: event, input});
	}

	return abandonLate(state, input);
}

function countGrant(
	state: Extract<FailoverState, {readonly kind: 'fencing'}>,
	options: {readonly answer: Extract<FailoverEvent, {readonly kind: 'fenceAnswered'}>; readonly input: Input},
): Step {
	const {answer, input} = options;
	if (!answer.isGranted) {
		return createRest(input);
	}

	const granted = new Map(state.granted).set(answer.report.instance, answer.report);
	if (granted.size < countMajority(input.view.group)) {
		return {state: {...state, granted}, effects: []};
	}

	const instance = chooseSuccessor([...granted.values()], input.view);
	return {
		state: {
			kind: 'promoting', since: input.now, term: state.term, instance,
		},
		effects: [{kind: 'publishStep', step: 'fenced'}, {kind: 'promote', instance, term: state.term}],
	};
}

/** Chooses the highest log end; among equals one that stays and is not the silent primary. */
function chooseSuccessor(reports: readonly InstanceReport[], view: GroupView): string {
	const best = reports.toSorted((a, b) => {
		const order = comparePoints(b.at, a.at);
		return order === 0 ? rankSuccessor(a.instance, view) - rankSuccessor(b.instance, view) : order;
	});
	return best[0]?.instance ?? '';
}

/** Ranks an instance among those with the same log end; lower goes first. */
function rankSuccessor(instance: string, view: GroupView): number {
	const isDeparting = view.group.instances.some(listed => listed.id === instance && listed.isDeparting);
	return (isDeparting ? 2 : 0) + (instance === view.primary ? 1 : 0);
}

function stepPromoting(
	state: Extract<FailoverState, {readonly kind: 'promoting'}>,
	input: Input,
): Step {
	const {event} = input;
	if (event.kind === 'promoteAnswered' && event.term === state.term) {
		return event.isGranted
			? {state: watching, effects: [{kind: 'publishStep', step: 'promoted'}, ...listOthers(state, input.view)]}
			: createRest(input);
	}

	if (input.view.term >= state.term) {
		return {state: watching, effects: listFollows(input)};
	}

	return abandonLate(state, input);
}

function listOthers(
	state: Extract<FailoverState, {readonly kind: 'promoting'}>,
	view: GroupView,
): readonly FailoverEffect[] {
	return view.group.instances
		.filter(({id}) => id !== state.instance)
		.map(({id}) => ({
			kind: 'follow', instance: id, term: state.term, primary: state.instance,
		}));
}

/** Gives up an attempt that has taken too long; the next one takes a higher term. */
function abandonLate(
	state: Extract<FailoverState, {readonly kind: 'fencing' | 'promoting'}>,
	input: Input,
): Step {
	return input.now - state.since > input.settings.stepTimeout ? createRest(input) : {state, effects: []};
}

function createRest(input: Input): Step {
	const until = input.now + ((input.rank + 1) * input.settings.stagger);
	return {state: {kind: 'backingOff', until}, effects: [{kind: 'publishStep', step: 'abandoned'}]};
}
