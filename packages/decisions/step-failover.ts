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
	/** Monotonic milliseconds when this host began to watch the group. */
	readonly watchedSince: number;
	/** Number of watchers of the group that act before this one. */
	readonly rank: number;
	/** Whether another zone must confirm the suspicion; false only when the platform lists hosts in a single zone. */
	readonly needsConfirmation: boolean;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/** Time after an instance's answer within which it is ordered to follow; one or two steps of the control loop. */
const followWindowMs = 30;

const watching: FailoverState = {kind: 'watching'};

/**
 * Advances a watcher's failover of one group by one event.
 *
 * A failover has four steps: suspect a silent primary, get the confirmation of another zone, fence a majority of the
 * instances in a new term, and promote the instance of that majority with the most up-to-date log. Acknowledged
 * writes survive without reliance on clocks or leases: any two fenced majorities intersect, an instance grants a
 * term to one owner only, and a watcher uses each term for one attempt only.
 *
 * @param state The progress of the failover.
 * @param input The event, the group, the failover settings, this watcher's rank, and monotonic milliseconds.
 */
export function stepFailover(
	state: FailoverState,
	input: Input,
): Step {
	const {state: next, effects} = stepProgress(state, input);
	const lastTerm = 'term' in next ? next.term : state.lastTerm;
	return {state: next.lastTerm === lastTerm ? next : {...next, lastTerm}, effects};
}

function stepProgress(state: FailoverState, input: Input): Step {
	switch (state.kind) {
		case 'watching': {
			return stepWatching(input);
		}

		case 'confirming': {
			return stepConfirming(state, input);
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

	return {state: watching, effects: listFollowCommands(input)};
}

/** Lists follow commands for instances that have just answered and are in an older term, or in this one but no replica. */
function listFollowCommands({view, now}: Input): readonly FailoverEffect[] {
	const {primary, term} = view;
	if (primary === undefined) {
		return [];
	}

	return [...view.instances.values()]
		.filter(({answeredAt}) => now - answeredAt <= followWindowMs)
		.map(({report}) => report)
		.filter(report => report.instance !== primary)
		.filter(report => report.term < term || (report.term === term && report.role !== 'replica'))
		.map(report => ({
			kind: 'follow', instance: report.instance, term, primary,
		}));
}

function stepConfirming(
	state: Extract<FailoverState, {readonly kind: 'confirming'}>,
	input: Input,
): Step {
	const {event, now, settings} = input;
	if (!isSuspected(input.view, input)) {
		return {state: watching, effects: [{kind: 'publishStep', step: 'recovered'}]};
	}

	const confirmedAt = state.confirmedAt ?? (event.kind === 'confirmed' ? now : undefined);
	if (confirmedAt !== undefined && now >= confirmedAt + (input.rank * settings.stagger)) {
		return startFencing(state, input);
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

function startFencing({lastTerm = 0}: FailoverState, input: Input): Step {
	const {view, now} = input;
	const knownTerms = [...view.instances.values()].map(({report}) => report.term);
	// The view may not know yet what an earlier attempt has made of the instances.
	const term = Math.max(view.term, lastTerm, ...knownTerms) + 1;
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
		return recordGrant(state, {answer: event, input});
	}

	return abandonOnTimeout(state, input);
}

function recordGrant(
	state: Extract<FailoverState, {readonly kind: 'fencing'}>,
	options: {readonly answer: Extract<FailoverEvent, {readonly kind: 'fenceAnswered'}>; readonly input: Input},
): Step {
	const {answer, input} = options;
	if (!answer.isGranted) {
		return startBackoff(input);
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

/** Chooses the most up-to-date log; among equals an instance that does not depart and is not the suspected primary. */
function chooseSuccessor(reports: readonly InstanceReport[], view: GroupView): string {
	const best = reports.toSorted((a, b) => {
		const order = comparePoints(b.point, a.point);
		return order === 0 ? rankSuccessor(a.instance, view) - rankSuccessor(b.instance, view) : order;
	});
	return best[0]?.instance ?? '';
}

/** Returns the rank of an instance among those with the same last log entry; the lowest is chosen. */
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
			? {state: watching, effects: [{kind: 'publishStep', step: 'promoted'}, ...listFollowCommandsForOthers(state, input.view)]}
			: startBackoff(input);
	}

	if (input.view.term >= state.term) {
		return {state: watching, effects: listFollowCommands(input)};
	}

	return abandonOnTimeout(state, input);
}

function listFollowCommandsForOthers(
	state: Extract<FailoverState, {readonly kind: 'promoting'}>,
	view: GroupView,
): readonly FailoverEffect[] {
	return view.group.instances
		.filter(({id}) => id !== state.instance)
		.map(({id}) => ({
			kind: 'follow', instance: id, term: state.term, primary: state.instance,
		}));
}

/** Abandons an attempt that exceeds the step timeout; the next attempt uses a higher term. */
function abandonOnTimeout(
	state: Extract<FailoverState, {readonly kind: 'fencing' | 'promoting'}>,
	input: Input,
): Step {
	return input.now - state.since > input.settings.stepTimeout ? startBackoff(input) : {state, effects: []};
}

/** Abandons the attempt and waits in proportion to this watcher's rank, so that watchers do not retry together. */
function startBackoff(input: Input): Step {
	const until = input.now + ((input.rank + 1) * input.settings.stagger);
	return {state: {kind: 'backingOff', until}, effects: [{kind: 'publishStep', step: 'abandoned'}]};
}
