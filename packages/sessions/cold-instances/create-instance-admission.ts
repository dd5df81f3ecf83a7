import type {ListedInstance} from '../listed-instance.ts';
import type {ColdInstances} from './cold-instances.ts';
import type {Coldness} from './coldness.ts';
import type {InstanceAdmission} from './instance-admission.ts';
import {isCold} from './is-cold.ts';
import {stepColdness} from './step-coldness.ts';

type Options = {
	/** Undefined if no instance is limited. */
	readonly coldInstances: ColdInstances | undefined;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

type Admission = InstanceAdmission & {
	/** Applies the entry of the instance in the platform's list. */
	readonly update: (listed: ListedInstance) => void;
	/** Records that the instance accepted a connection after it was lost. */
	readonly recordReconnection: () => void;
};

/** Creates the admission to an instance. One without a limit, or with warm caches, takes every statement. */
export function createInstanceAdmission(first: ListedInstance, {coldInstances, now}: Options): Admission {
	let listed = first;
	let state: Coldness | undefined;

	const findLimit = () => coldInstances?.findLimit(listed.group);
	const isColdNow = () => findLimit() !== undefined && state !== undefined && isCold(state, now());

	const step = (event: Parameters<typeof stepColdness>[1]) => {
		const wasCold = isColdNow();
		state = stepColdness(state, event, {span: findLimit()?.span ?? 0, now: now()});
		if (isColdNow() && !wasCold) {
			coldInstances?.onCold(listed, state.coldUntil - now());
		}
	};

	const update = (newer: ListedInstance) => {
		listed = newer;
		step({
			kind: 'listed', warmupMs: newer.warmupMs ?? 0, born: newer.born, seq: newer.seq,
		});
	};

	update(first);
	return {
		isCold: isColdNow,
		update,
		recordReconnection() {
			step({kind: 'reconnected'});
		},
		async admit(maxWaitMs) {
			if (coldInstances === undefined || !isColdNow()) {
				return () => !isColdNow();
			}

			const permit = await coldInstances.takePermit(listed, maxWaitMs);
			if (permit === undefined) {
				coldInstances.onRefused();
				return undefined;
			}

			return () => coldInstances.isValid(permit);
		},
	};
}
