import type {Change} from '@sapphirefall/decisions';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChangeRequest, ChangeResponseSchema, StatusResponseSchema} from '@sapphirefall/wire';

/** What an operator's request is carried out by. */
export type OperatorBackend = {
	readonly change: (request: ChangeRequest, change: Change) => Promise<MessageInitShape<typeof ChangeResponseSchema>>;
	readonly readStatus: () => MessageInitShape<typeof StatusResponseSchema>;
	readonly drain: () => void;
	readonly formatEvents: () => string;
	/** Whether the host can serve keyed requests now. */
	readonly isReady: () => boolean;
	readonly readMetrics: () => Promise<string>;
};
