import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ExecuteRequestSchema, ExecuteResponse} from '@sapphirefall/wire';

/** A caller's open stream to a host. */
export type CallerStream = {
	/** Sends a request; rejects when the stream ends before the answer. */
	readonly execute: (request: MessageInitShape<typeof ExecuteRequestSchema>) => Promise<ExecuteResponse>;
	readonly close: () => void;
};
