import {stepFailover} from './step-failover.ts';
import type {FailoverEvent} from './failover-event.ts';
import type {GroupState} from './group-state.ts';
import type {HostEffect} from './host-effect.ts';
import type {HostSettings} from './host-settings.ts';

/** The state of a group after an event, and the actions that follow. */
type GroupStep = {readonly group: GroupState; readonly effects: readonly HostEffect[]};

/**
 * Advances the failover of one group by one event, if this host watches the group.
 *
 * @param group The state of the group.
 * @param input The event, the settings, and monotonic milliseconds.
 */
export function stepGroupFailover(
	group: GroupState,
	input: {readonly event: FailoverEvent; readonly settings: HostSettings; readonly now: number},
): GroupStep {
	if (group.watch === undefined) {
		return {group, effects: []};
	}

	const {database} = group.view.group;
	const {state: failover, effects} = stepFailover(group.failover, {
		event: input.event,
		view: group.view,
		settings: input.settings.failover,
		watchedSince: group.watch.since,
		rank: group.watch.rank,
		needsConfirmation: group.watch.needsConfirmation,
		now: input.now,
	});
	return {
		group: failover === group.failover ? group : {...group, failover},
		effects: effects.map(effect => ({kind: 'failover', database, effect})),
	};
}
