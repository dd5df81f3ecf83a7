import type {InstanceReport} from '@sapphirefall/decisions';

/** Answer of an instance to a failover command. */
type FailoverAnswer = {readonly isGranted: boolean; readonly report: InstanceReport};

/** Sends failover commands to one instance. A command rejects when no answer arrives. */
export type FailoverClient = {
	readonly fence: (term: number, owner: string) => Promise<FailoverAnswer>;
	readonly promote: (term: number, owner: string) => Promise<FailoverAnswer>;
	readonly follow: (term: number, primary: {readonly id: string; readonly address: string}) => Promise<FailoverAnswer>;
};
