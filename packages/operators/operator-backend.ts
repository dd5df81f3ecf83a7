import type {Change} from '@sapphirefall/decisions';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChangeRequest, ChangeResponseSchema, StatusResponseSchema} from '@sapphirefall/wire';

/** Carries out the requests of operators. */
export type OperatorBackend = {
	readonly change: (request: ChangeRequest, change: Change) => Promise<MessageInitShape<typeof ChangeResponseSchema>>;
	readonly readStatus: () => MessageInitShape<typeof StatusResponseSchema>;
	/** Starts draining the host: it refuses new requests. */
	readonly drain: () => void;
	/** Returns the recorded events, one a line. */
	readonly formatEvents: () => string;
	/** Returns whether the host can serve keyed requests. */
	readonly isReady: () => boolean;
	/** Returns the metrics in the text format of Prometheus. */
	readonly readMetrics: () => Promise<string>;
};
