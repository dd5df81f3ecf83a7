import type {ListedInstance} from '../listed-instance.ts';
import type {Permit} from './permit.ts';
import type {WarmupLimit} from './warmup-limit.ts';

/** What the runtime of an instance needs to spare it while it is cold. */
export type ColdInstances = {
	/** Finds the limit of a group's instances; undefined if they have none. */
	readonly findLimit: (group: string) => WarmupLimit | undefined;
	/** Takes a permit to send one statement, and waits for one at most `maxWaitMs` and the answer of the allocator. */
	readonly takePermit: (instance: ListedInstance, maxWaitMs: number) => Promise<Permit | undefined>;
	/** Whether a permit holds now. */
	readonly isValid: (permit: Permit) => boolean;
	/** Called when the host begins to take an instance for cold, with the milliseconds for which it will. */
	readonly onCold: (instance: ListedInstance, span: number) => void;
	/** Called when a statement is not sent since there is no permit. */
	readonly onRefused: () => void;
};
