import {repeatStatement} from './repeat-statement.ts';
import {sendStatement} from './send-statement.ts';
import type {WireHost} from './wire-host.ts';

type Options = {
	/** Key of the caller. Defaults to `good`. */
	readonly key?: string;
} & Parameters<typeof repeatStatement>[1];

/**
 * Repeats a write at each of some hosts, in a session of its own each time, until its result begins as expected; returns the
 * milliseconds until that was so at all of them, or infinity at the limit.
 */
export async function repeatWrites(hosts: ReadonlyArray<Pick<WireHost, 'port'>>, {key = 'good', ...options}: Options): Promise<number> {
	const elapsed = await Promise.all(hosts.map(async ({port}) =>
		repeatStatement(async () => sendStatement({port, key, text: `WRITE repeated${port} v`}), options)));
	return Math.max(...elapsed);
}
