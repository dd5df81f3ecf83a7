import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import type {ChangeRequest, ChangeResponseSchema, HostService} from '@sapphirefall/wire';
import {serveForwards} from './serve-forwards.ts';
import {decodeExchange} from './decode-exchange.ts';
import {encodeExchange} from './encode-exchange.ts';
import type {BorrowAsked} from './borrow-asked.ts';
import type {BorrowGranted} from './borrow-granted.ts';
import type {HandedBucket} from './handed-bucket.ts';
import type {ExchangeContent} from './exchange-content.ts';

type Options = {
	/** Takes in what another host told and tells what it lacks. */
	readonly exchange: (content: ExchangeContent) => ExchangeContent;
	readonly confirm: (database: string, term: number) => boolean;
	/** Executes a request that another host has admitted. */
	readonly execute: (request: AdmittedRequest) => Promise<Answer>;
	/** Orders what happens here after what the other host has seen. */
	readonly clock: HybridClock;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	/** Lends units; undefined when this host is not the workspace's home. */
	readonly lend: (asked: BorrowAsked) => BorrowGranted | undefined;
	/** Keeps a part of a workspace's bucket as its standby. */
	readonly stand: (workspace: string) => void;
	/** Takes a bucket over; false when this host does not know that it is the home. */
	readonly takeOver: (bucket: HandedBucket) => boolean;
	/** Commits a change that another host passed on. */
	readonly takeChange: (change: ChangeRequest) => Promise<MessageInitShape<typeof ChangeResponseSchema>>;
};

/** Creates the service that other entry hosts use. */
export function createHostService(options: Options): ServiceImpl<typeof HostService> {
	return {
		exchange: message => encodeExchange(options.exchange(decodeExchange(message))),
		confirm: ({database, term}) => ({suspected: options.confirm(database, term)}),
		borrow({standby, ...asked}) {
			const granted = options.lend({...asked, isStandby: standby});
			return granted === undefined
				? {home: false}
				: {
					home: true, units: granted.units, spanMs: granted.span, retryAfterMs: granted.retryAfter,
				};
		},
		stand({workspace}) {
			options.stand(workspace);
			return {};
		},
		handOver: ({loans, ...bucket}) => ({
			taken: options.takeOver({...bucket, loans: loans.map(({leftMs, ...loan}) => ({...loan, left: leftMs}))}),
		}),
		async * forward(messages) {
			yield * serveForwards(messages, options);
		},
		passChange: async change => options.takeChange(change),
	};
}
