import {EventEmitter} from 'node:events';
import {fromEvent} from 'most';
import {
	createHostState, stepHost, type Host, type HostEffect, type HostEvent, type HostSettings, type HostState,
} from '@sapphirefall/decisions';

type Options = {
	readonly host: Host;
	readonly incarnation: number;
	readonly settings: HostSettings;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
	/** Called after each step with the state before and after it. */
	readonly onStep: (before: HostState, after: HostState) => void;
	readonly onEffect: (effect: HostEffect) => void;
};

/** The control loop of a host. */
type ControlLoop = {
	readonly state: () => HostState;
	readonly dispatch: (event: HostEvent) => void;
};

/**
 * Creates the control loop of a host, which applies a stream of events to the state and carries out the effects.
 *
 * Events that are dispatched during a step are processed after it, in order.
 */
export function createControlLoop(options: Options): ControlLoop {
	const emitter = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target -- the event source that most supports
	const queue: HostEvent[] = [];
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

	const processEvent = (received: HostEvent) => {
		queue.push(received);
		if (isStepping) {
			return;
		}

		isStepping = true;
		try {
			for (let event = queue.shift(); event !== undefined; event = queue.shift()) {
				step(event);
			}
		} finally {
			isStepping = false;
		}
	};

	void fromEvent<HostEvent>('event', emitter).observe(processEvent);
	return {
		state: () => state,
		dispatch(event) {
			emitter.emit('event', event);
		},
	};
}
