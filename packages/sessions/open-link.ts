import type {LinkOutcome} from './link-outcome.ts';
import type {ListedInstance} from './listed-instance.ts';

/** Opens a connection of a workspace to an instance. */
export type OpenLink = (
	instance: ListedInstance,
	options: {readonly workspace: string; /** Milliseconds. */ readonly timeout: number},
) => Promise<LinkOutcome>;
