import type {Answer, HostState, Request} from '@sapphirefall/decisions';
import type {ExchangeContent} from '@sapphirefall/hosts';
import type {OperatorBackend} from '@sapphirefall/operators';

/** A host that runs, without its listeners. */
export type RunningHost = {
	readonly handle: (request: Request) => Promise<{readonly answer: Answer; readonly session: string}>;
	readonly exchange: (content: ExchangeContent) => ExchangeContent;
	readonly confirm: (database: string, term: number) => boolean;
	readonly operators: OperatorBackend;
	readonly state: () => HostState;
	/** Stops taking requests, and resolves when those that run have ended. */
	readonly drain: () => Promise<void>;
	readonly stop: () => void;
};
