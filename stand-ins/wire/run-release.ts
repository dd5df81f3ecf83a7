/* eslint-disable no-await-in-loop -- looks run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';

type Options = {
	/** Milliseconds that the instance goes on after another one leads. */
	readonly stayMs: number;
	/** Milliseconds from its end to its return. */
	readonly awayMs: number;
};

/** Milliseconds after which an instance that is to be replaced ends, whether or not it was. */
const releaseLimitMs = 9000;

/** Milliseconds between two looks at who leads. */
const pollMs = 100;

/** Releases an instance for planned work: it is listed as departing, goes on for a while, ends, and comes back with its log. */
export async function runRelease(group: InstanceGroup, instance: InstanceStandIn, {stayMs, awayMs}: Options): Promise<void> {
	group.drain(instance);
	const until = performance.now() + releaseLimitMs;
	while (performance.now() < until && group.leader() === instance) {
		await sleep(pollMs);
	}

	await sleep(stayMs);
	await group.crash(instance, awayMs);
	group.listAsReady(instance);
}
