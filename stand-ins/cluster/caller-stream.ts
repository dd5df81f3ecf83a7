import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ExecuteRequestSchema, ExecuteResponse} from '@sapphirefall/wire';

/** An open stream of a caller to a host. */
export type CallerStream = {
	/** Sends a request and resolves to its answer. Rejects if the stream ends before the answer arrives. */
	readonly execute: (request: MessageInitShape<typeof ExecuteRequestSchema>) => Promise<ExecuteResponse>;
	readonly close: () => void;
};
