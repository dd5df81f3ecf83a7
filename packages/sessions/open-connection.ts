import type {OpenConnectionOutcome} from './open-connection-outcome.ts';
import type {ListedInstance} from './listed-instance.ts';

/** Opens a connection to an instance on behalf of a workspace. */
export type OpenConnection = (
	instance: ListedInstance,
	options: {readonly workspace: string; /** Milliseconds until the attempt is given up. */ readonly timeout: number},
) => Promise<OpenConnectionOutcome>;
