import type {Operation} from './operation.ts';
import type {Target} from './target.ts';
import {waitForExpectedPrimary} from './wait-for-expected-primary.ts';

type Options = {
	/** Whether the operation only reads, so that a replica may serve it. */
	readonly isReadOnly: boolean;
	/** Ids of the instances that were already tried. */
	readonly tried: ReadonlySet<string>;
	/** Longest wait for the primary in milliseconds. */
	readonly remainingMs: number;
};

/**
 * Chooses the instance for the next attempt of an operation.
 *
 * A read that need not be served by the primary goes to the best-ranked instance that was not tried yet. Anything else,
 * and a read without such an instance, goes to the leased primary.
 *
 * @returns Undefined if there is no such instance and no leased primary.
 */
export async function chooseTarget(operation: Operation, {isReadOnly, tried, remainingMs}: Options): Promise<Target | undefined> {
	const {group, route, arrivedAt} = operation;
	if (isReadOnly && route.freshness !== 'latest') {
		const required = group.findRequiredPosition({maxStaleness: route.maxStaleness, lastWrite: operation.lastWrite(), arrivedAt});
		const readers = required === undefined ? [] : group.listReaders(required, operation.mayReachZone);
		const instance = readers.find(reader => !tried.has(reader.listed().id));
		if (required !== undefined && instance !== undefined) {
			return {instance, after: required, lease: undefined};
		}
	}

	const view = await waitForExpectedPrimary(operation, remainingMs);
	const instance = view.kind === 'leased' ? group.findInstance(view.instance) : undefined;
	if (view.kind !== 'leased' || instance === undefined) {
		return undefined;
	}

	// The instance may have started again under its id, without the log that it had.
	const newest = group.findNewestPosition();
	const after = newest?.epoch === view.epoch ? newest.position : undefined;
	return {instance, after, lease: {group, instance: view.instance, epoch: view.epoch}};
}
