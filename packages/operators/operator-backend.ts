import type {Change} from '@sapphirefall/decisions';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChangeResponseSchema, StatusResponseSchema} from '@sapphirefall/wire';

/** What an operator's request is carried out by. */
export type OperatorBackend = {
	readonly change: (change: Change, options: {readonly changeId: string; readonly basedOn: number}) =>
	Promise<MessageInitShape<typeof ChangeResponseSchema>>;
	readonly readStatus: () => MessageInitShape<typeof StatusResponseSchema>;
	readonly drain: () => void;
	readonly formatEvents: () => string;
	/** Whether the host can serve keyed requests now. */
	readonly isReady: () => boolean;
	readonly readMetrics: () => Promise<string>;
};
