import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';

/** An open connection to an instance, made on behalf of one workspace. */
export type InstanceConnection = {
	/** Sends a request and resolves to its answer. Requests may be pipelined; answers come in the order of the requests. */
	readonly send: (request: InstanceRequest) => Promise<InstanceAnswer>;
	readonly close: () => void;
	readonly isClosed: () => boolean;
};
