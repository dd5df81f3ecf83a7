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
	/** Applies the state that another host sent, and returns the state that it lacks. */
	readonly exchange: (content: ExchangeContent) => ExchangeContent;
	/** Whether this host also suspects that the primary of a term has failed. */
	readonly confirm: (database: string, term: number) => boolean;
	/** Executes a request that another host has admitted. */
	readonly execute: (request: AdmittedRequest) => Promise<Answer>;
	/** Hybrid logical clock; orders events of this host after those of other hosts that it has observed. */
	readonly clock: HybridClock;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Lends units of a workspace; undefined if this host is neither its home host nor its standby host with units to lend on. */
	readonly lend: (request: LoanRequest) => LoanGrant | undefined;
	/** Renews the standby loan of a workspace at the request of its home host. */
	readonly renewStandbyLoan: (workspace: string) => void;
	/** Takes over a workspace's token bucket; false unless this host has the handover's version of the roster and is the home host in it. */
	readonly acceptHandover: (handover: BucketHandover) => boolean;
	/** Commits an operator's change that another host forwarded. */
	readonly handleForwardedChange: (change: ChangeRequest) => Promise<MessageInitShape<typeof ChangeResponseSchema>>;
};

type ControlAnswer = NonNullable<MessageInitShape<typeof ControlResponseSchema>['answer']>;

/** Creates the service that a host offers to other hosts: control calls and forwarded requests. */
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

/** Runs a call and returns its answer, which is empty if the call fails. */
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
			options.renewStandbyLoan(call.value.workspace);
			return {case: call.case, value: {}};
		}

		case 'handOver': {
			const {loans, ...handover} = call.value;
			const taken = options.acceptHandover({...handover, loans: loans.map(({leftMs, ...loan}) => ({...loan, remainingMs: leftMs}))});
			return {case: call.case, value: {taken}};
		}

		case 'passChange': {
			return {case: call.case, value: await options.handleForwardedChange(call.value)};
		}

		case undefined: {
			throw new Error('the control request contains no call, or one of an unknown kind');
		}
	}
}

function lend({standby, ...request}: BorrowRequest, options: Options): MessageInitShape<typeof BorrowResponseSchema> {
	const grant = options.lend({...request, isStandby: standby});
	return grant === undefined
		? {home: false}
		: {
			home: true, units: grant.units, spanMs: grant.validMs, retryAfterMs: grant.retryAfter,
		};
}
