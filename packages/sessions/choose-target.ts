import type {Operation} from './operation.ts';
import type {Target} from './target.ts';
import {waitForExpectedPrimary} from './wait-for-expected-primary.ts';

type Options = {
	/** Whether a replica may serve it, because it only reads. */
	readonly isReadOnly: boolean;
	/** Instances that were tried already. */
	readonly tried: ReadonlySet<string>;
	/** Milliseconds for which the primary may be waited for. */
	readonly left: number;
};

/** Chooses where an operation goes next: fresh replicas first, then the primary under its lease. */
export async function chooseTarget(operation: Operation, {isReadOnly, tried, left}: Options): Promise<Target | undefined> {
	const {group, route, arrivedAt} = operation;
	if (isReadOnly && route.freshness !== 'latest') {
		const required = group.findRequired({maxStaleness: route.maxStaleness, mark: operation.mark(), arrivedAt});
		const readers = required === undefined ? [] : group.listReaders(required);
		const instance = readers.find(reader => !tried.has(reader.listed().id));
		if (required !== undefined && instance !== undefined) {
			return {instance, after: required, epoch: undefined};
		}
	}

	const view = await waitForExpectedPrimary(operation, left);
	const instance = view.kind === 'leased' ? group.findInstance(view.instance) : undefined;
	return view.kind === 'leased' && instance !== undefined ? {instance, after: undefined, epoch: view.epoch} : undefined;
}
