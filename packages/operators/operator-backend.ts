import type {Change} from '@sapphirefall/decisions';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChangeRequest, ChangeResponseSchema, StatusResponseSchema} from '@sapphirefall/wire';

/** Carries out the requests of operators. */
export type OperatorBackend = {
	readonly change: (request: ChangeRequest, change: Change) => Promise<MessageInitShape<typeof ChangeResponseSchema>>;
	readonly readStatus: () => MessageInitShape<typeof StatusResponseSchema>;
	readonly drain: () => void;
	readonly formatEvents: () => string;
	/** Returns whether the host can serve keyed requests. */
	readonly isReady: () => boolean;
	readonly readMetrics: () => Promise<string>;
};
