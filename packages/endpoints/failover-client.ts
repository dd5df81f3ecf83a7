import type {InstanceReport} from '@sapphirefall/decisions';

/** Answer of an instance to a failover command. */
type FailoverAnswer = {readonly isGranted: boolean; readonly report: InstanceReport};

/** Sends failover commands to one instance. A command rejects when no answer arrives. */
export type FailoverClient = {
	/** Asks the instance to grant a term to `owner`, the process that conducts the failover. */
	readonly fence: (term: number, owner: string) => Promise<FailoverAnswer>;
	/** Makes the instance the primary of a term that `owner` was granted. */
	readonly promote: (term: number, owner: string) => Promise<FailoverAnswer>;
	/** Makes the instance replicate from the primary of a term. */
	readonly follow: (term: number, primary: {readonly id: string; readonly address: string}) => Promise<FailoverAnswer>;
};
