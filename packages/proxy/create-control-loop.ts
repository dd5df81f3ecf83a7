import {EventEmitter} from 'node:events';
import {fromEvent} from 'most';
import {
	createHostState, stepHost, type Host, type HostEffect, type HostEvent, type HostSettings, type HostState,
} from '@sapphirefall/decisions';

type Options = {
	readonly host: Host;
	readonly incarnation: number;
	readonly settings: HostSettings;
	readonly now: () => number;
	/** Called after each step with the state before and after it. */
	readonly onStep: (before: HostState, after: HostState) => void;
	readonly onEffect: (effect: HostEffect) => void;
};

/** The control loop of a host. */
type Loop = {
	readonly state: () => HostState;
	readonly dispatch: (event: HostEvent) => void;
};

/**
 * Creates the control loop of a host: one stream of events, folded into the state by the decisions.
 *
 * Events that come while a step is under way are taken in order after it.
 */
export function createControlLoop(options: Options): Loop {
	const emitter = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- what most listens to
	const waiting: HostEvent[] = [];
	let state = createHostState(options.host, options.incarnation);
	let isStepping = false;

	const step = (event: HostEvent) => {
		const before = state;
		const next = stepHost(before, {event, settings: options.settings, now: options.now()});
		state = next.state;
		options.onStep(before, state);
		for (const effect of next.effects) {
			options.onEffect(effect);
		}
	};

	const drain = (first: HostEvent) => {
		waiting.push(first);
		if (isStepping) {
			return;
		}

		isStepping = true;
		try {
			for (let event = waiting.shift(); event !== undefined; event = waiting.shift()) {
				step(event);
			}
		} finally {
			isStepping = false;
		}
	};

	void fromEvent<HostEvent>('event', emitter).observe(drain);
	return {
		state: () => state,
		dispatch(event) {
			emitter.emit('event', event);
		},
	};
}
