import type {InstanceReport} from '@sapphirefall/decisions';

/** What an instance answered to a command of failover. */
type CommandAnswer = {readonly isGranted: boolean; readonly report: InstanceReport};

/** Gives an instance the commands of failover. A command without an answer rejects. */
export type FailoverClient = {
	readonly fence: (term: number, owner: string) => Promise<CommandAnswer>;
	readonly promote: (term: number, owner: string) => Promise<CommandAnswer>;
	readonly follow: (term: number, primary: {readonly id: string; readonly address: string}) => Promise<CommandAnswer>;
};
