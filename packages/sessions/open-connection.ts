import type {OpenConnectionOutcome} from './open-connection-outcome.ts';
import type {ListedInstance} from './listed-instance.ts';

/** Opens a connection of a workspace to an instance. */
export type OpenConnection = (
	instance: ListedInstance,
	options: {readonly workspace: string; /** Milliseconds. */ readonly timeout: number},
) => Promise<OpenConnectionOutcome>;
