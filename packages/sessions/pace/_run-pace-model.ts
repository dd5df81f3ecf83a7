import type {PaceState} from './pace-state.ts';
import {applyPaceObservation} from './apply-pace-observation.ts';
import {createPaceState} from './create-pace-state.ts';
import {findPaceBounds} from './find-pace-bounds.ts';

type Options = {
	readonly slots: number;
	/** Requests that wait at each gateway at all times, by gateway; 0 for one without demand. */
	readonly demands: readonly number[];
	/** Returns the milliseconds for which the statement with a number that starts at a time occupies its slot. */
	readonly findWorkMs: (number: number, now: number) => number;
	readonly durationMs: number;
};

type Statement = {readonly gateway: number; readonly sentAt: number; endsAt: number | undefined};

/**
 * Runs gateways beside each other in a closed loop with an instance that has slots and a queue, in steps of a millisecond.
 * Returns what was done, and the limits in the end.
 */
export function runPaceModel({slots, demands, findWorkMs, durationMs}: Options) {
	const states: PaceState[] = demands.map(() => createPaceState());
	const bounds = findPaceBounds({slots, gatewayCount: demands.length});
	let statements: readonly Statement[] = [];
	let started = 0;
	let done = 0;
	let highest = 0;
	let idleSlotMs = 0;
	const countFor = (gateway: number) => statements.filter(statement => statement.gateway === gateway).length;

	const finish = (now: number) => {
		const ended = statements.filter(({endsAt}) => endsAt !== undefined && endsAt <= now);
		for (const {gateway, sentAt} of ended) {
			const inProgress = countFor(gateway);
			states[gateway] = applyPaceObservation(states[gateway]!, {
				observation: {kind: 'answered', latency: now - sentAt}, bounds, inProgress, now,
			});
		}

		done += ended.length;
		statements = statements.filter(statement => !ended.includes(statement));
	};

	const send = (now: number) => {
		for (const [gateway, demand] of demands.entries()) {
			const count = Math.min(demand, states[gateway]!.limit) - countFor(gateway);
			statements = [...statements, ...Array.from({length: Math.max(0, count)}, () => ({gateway, sentAt: now, endsAt: undefined}))];
		}
	};

	const start = (now: number) => {
		const free = slots - statements.filter(({endsAt}) => endsAt !== undefined).length;
		const next = statements.filter(({endsAt}) => endsAt === undefined).slice(0, free);
		for (const statement of next) {
			statement.endsAt = now + findWorkMs(started, now);
			started++;
		}

		idleSlotMs += free - next.length;
	};

	for (let now = 0; now < durationMs; now++) {
		finish(now);
		send(now);
		start(now);
		highest = Math.max(highest, statements.length);
	}

	return {
		done, highest, idleShare: idleSlotMs / (slots * durationMs), limits: states.map(({limit}) => limit),
	};
}
