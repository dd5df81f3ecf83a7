import {stepFailover} from './step-failover.ts';
import {updateGroup} from './_update-group.ts';
import type {FailoverEvent} from './failover-event.ts';
import type {HostSettings} from './host-settings.ts';
import type {HostState} from './host-state.ts';
import type {HostStep} from './host-step.ts';

/**
 * Moves the failover of one group by one event, if this host watches the group.
 *
 * @param state The state of the host.
 * @param input The group's database, the event, the settings, and monotonic milliseconds.
 */
export function stepGroupFailover(
	state: HostState,
	input: {
		readonly database: string;
		readonly event: FailoverEvent;
		readonly settings: HostSettings;
		readonly now: number;
	},
): HostStep {
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
