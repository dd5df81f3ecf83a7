import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {EndpointService, type LogEntry} from '@sapphirefall/wire';
import type {createInstance} from './create-instance.ts';

type Options = {
	readonly instance: ReturnType<typeof createInstance>;
	/** Milliseconds between receiving and applying an entry. */
	readonly lag: number;
};

/** Delay before the next pull after a failure, or while the instance has no primary to follow. */
const retryDelayMs = 50;

/** Timeout of a pull request. */
const pullTimeoutMs = 1000;

/** Starts a loop that pulls entries from the primary while the instance is a replica. */
export function startReplication({instance, lag}: Options): void {
	void runReplication(instance, lag);
}

async function runReplication(instance: Options['instance'], lag: number): Promise<never> {
	let client: {readonly address: string; readonly pull: ReturnType<typeof createPull>} | undefined;
	let cursor: bigint | undefined;
	for (;;) {
		const {
			role, term, primaryAddress, signal,
		} = instance.getRole();
		if (role !== 'replica' || primaryAddress === '') {
			await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
			continue;
		}

		if (client?.address !== primaryAddress) {
			client = {address: primaryAddress, pull: createPull(primaryAddress)};
			cursor = undefined;
		}

		const position = cursor ?? instance.findLastPoint().position;
		try {
			// eslint-disable-next-line no-await-in-loop
			const pulled = await client.pull({term, position, positionTerm: instance.findTermAt(position)}, signal);
			if (pulled.diverged) {
				cursor = position - 1n;
			} else if (pulled.accepted) {
				cursor = undefined;
				await applyWithLag(instance, {after: position, entries: pulled.entries, lag}); // eslint-disable-line no-await-in-loop
			} else {
				await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
			}
		} catch {
			client = undefined;
			await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
		}
	}
}

async function applyWithLag(
	instance: Options['instance'],
	pulled: {readonly after: bigint; readonly entries: readonly LogEntry[]; readonly lag: number},
): Promise<void> {
	if (pulled.lag > 0 && pulled.entries.length > 0) {
		await sleep(pulled.lag);
	}

	await instance.applyEntries(pulled.after, pulled.entries);
}

function createPull(address: string) {
	const client = createClient(EndpointService, createConnectTransport({baseUrl: address, httpVersion: '2'}));
	// The signal aborts a pull from a former primary as soon as the instance follows another.
	return async (from: {readonly term: number; readonly position: bigint; readonly positionTerm: number}, signal: AbortSignal) => client.pull(
		{term: from.term, after: {term: from.positionTerm, position: from.position}},
		{timeoutMs: pullTimeoutMs, signal},
	);
}
