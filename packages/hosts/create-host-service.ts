import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import {
	ControlResponseSchema, serveMessages, type BorrowRequest, type BorrowResponseSchema, type ChangeRequest,
	type ChangeResponseSchema, type ControlRequest, type ControlResponse, type HostService,
} from '@sapphirefall/wire';
import {executeForward} from './execute-forward.ts';
import {decodeExchange} from './decode-exchange.ts';
import {encodeExchange} from './encode-exchange.ts';
import type {LoanRequest} from './loan-request.ts';
import type {LoanGrant} from './loan-grant.ts';
import type {BucketHandover} from './bucket-handover.ts';
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
	readonly lend: (asked: LoanRequest) => LoanGrant | undefined;
	/** Keeps a part of a workspace's bucket as its standby. */
	readonly stand: (workspace: string) => void;
	/** Takes a bucket over; false when this host does not know that it is the home. */
	readonly takeOver: (bucket: BucketHandover) => boolean;
	/** Commits a change that another host passed on. */
	readonly takeChange: (change: ChangeRequest) => Promise<MessageInitShape<typeof ChangeResponseSchema>>;
};

type ControlAnswer = NonNullable<MessageInitShape<typeof ControlResponseSchema>['answer']>;

/** Creates the service that other entry hosts use. */
export function createHostService(options: Options): ServiceImpl<typeof HostService> {
	return {
		async * control(messages) {
			yield * serveMessages(messages, async message => answerControl(message, options));
		},
		async * forward(messages) {
			yield * serveMessages(messages, async message => executeForward(message, options));
		},
	};
}

/** Answers a call; one that fails gets an empty answer. */
async function answerControl({id, call}: ControlRequest, options: Options): Promise<ControlResponse> {
	try {
		return create(ControlResponseSchema, {id, answer: await answerCall(call, options)});
	} catch {
		return create(ControlResponseSchema, {id});
	}
}

async function answerCall(call: ControlRequest['call'], options: Options): Promise<ControlAnswer> {
	switch (call.case) {
		case 'exchange': {
			return {case: call.case, value: encodeExchange(options.exchange(decodeExchange(call.value)))};
		}

		case 'confirm': {
			return {case: call.case, value: {suspected: options.confirm(call.value.database, call.value.term)}};
		}

		case 'borrow': {
			return {case: call.case, value: lend(call.value, options)};
		}

		case 'stand': {
			options.stand(call.value.workspace);
			return {case: call.case, value: {}};
		}

		case 'handOver': {
			const {loans, ...bucket} = call.value;
			const taken = options.takeOver({...bucket, loans: loans.map(({leftMs, ...loan}) => ({...loan, remainingMs: leftMs}))});
			return {case: call.case, value: {taken}};
		}

		case 'passChange': {
			return {case: call.case, value: await options.takeChange(call.value)};
		}

		case undefined: {
			throw new Error('The message names no call');
		}
	}
}

function lend({standby, ...asked}: BorrowRequest, options: Options): MessageInitShape<typeof BorrowResponseSchema> {
	const granted = options.lend({...asked, isStandby: standby});
	return granted === undefined
		? {home: false}
		: {
			home: true, units: granted.units, spanMs: granted.validMs, retryAfterMs: granted.retryAfter,
		};
}
