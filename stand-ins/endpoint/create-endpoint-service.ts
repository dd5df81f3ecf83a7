import {setTimeout as sleep} from 'node:timers/promises';
import {create, toJsonString} from '@bufbuild/protobuf';
import {
	Code, ConnectError, type HandlerContext, type ServiceImpl,
} from '@connectrpc/connect';
import {
	BatchRequestSchema, BatchResponseSchema, createQueue, decodePoint, type BatchRequest, type BatchResponse, type EndpointService,
	type ProbeRequest,
} from '@sapphirefall/wire';
import type {AnswerFault} from './answer-fault.ts';
import type {createInstance} from './create-instance.ts';
import {sendWithFault} from './send-with-fault.ts';

type Instance = ReturnType<typeof createInstance>;

type Options = {
	/** Largest number of concurrent connections. */
	readonly connectionLimit: number;
	/** Milliseconds that opening a connection takes. */
	readonly connectTime: number;
	/** Milliseconds for which a pull request waits for new entries. */
	readonly pullWait: number;
	/** Addresses at which this instance reaches other instances, by instance. Instances without an entry are reached at the address that hosts send. */
	readonly routes: Readonly<Record<string, string>>;
	/** Whether the service prints every batch request to standard output. */
	readonly trace: boolean;
	/** Returns the current fault. */
	readonly readFault: () => AnswerFault;
	/** Counts one answer and returns whether it is to be dropped. */
	readonly takeDrop: () => boolean;
};

/** Creates the service of an instance for hosts and replicas. */
export function createEndpointService(instance: Instance, options: Options): ServiceImpl<typeof EndpointService> {
	let connections = 0;

	return {
		async * connect(requests: AsyncIterable<BatchRequest>, context: HandlerContext) {
			if (connections >= options.connectionLimit) {
				throw new ConnectError('the instance has no connection left', Code.ResourceExhausted);
			}

			connections++;
			try {
				await sleep(options.connectTime);
				yield * serveConnection(instance, {...options, requests, context});
			} finally {
				connections--;
			}
		},
		async * probe(requests: AsyncIterable<ProbeRequest>) {
			for await (const {id} of requests) {
				yield instance.createReport(id);
			}
		},
		fence: request => ({granted: instance.fence(request), report: instance.createReport()}),
		promote: request => ({granted: instance.promote(request), report: instance.createReport()}),
		follow(request) {
			const primaryAddress = options.routes[request.primary] ?? request.primaryAddress;
			const granted = instance.follow({term: request.term, primaryAddress});
			return {granted, report: instance.createReport()};
		},
		async pull(request) {
			const pulled = await instance.listEntries({
				term: request.term, after: decodePoint(request.after), wait: options.pullWait,
			});
			return {accepted: pulled.isAccepted, diverged: pulled.isDiverged, entries: [...pulled.entries]};
		},
	};
}

/** Serves one connection. Batches run sequentially; pings are answered immediately. */
async function * serveConnection(
	instance: Instance,
	options: Options & {readonly requests: AsyncIterable<BatchRequest>; readonly context: HandlerContext},
): AsyncGenerator<BatchResponse> {
	const {requests, context} = options;
	const session = instance.createSession();
	const responses = createQueue<BatchResponse>();
	const close = () => {
		instance.closeSession(session);
		responses.end();
	};

	context.signal.addEventListener('abort', close);
	const requestsRead = (async () => {
		let lastBatch: Promise<void> = Promise.resolve();
		for await (const request of requests) {
			if (options.trace) {
				console.log(toJsonString(BatchRequestSchema, request));
			}

			if (request.ping) {
				responses.push(create(BatchResponseSchema, {id: request.id}));
			} else {
				lastBatch = runAfter(lastBatch, async () => {
					await sendWithFault(await instance.runBatch(session, request), {...options, send: responses.push});
				});
			}
		}

		await lastBatch;
	})();
	requestsRead.catch(() => undefined).finally(close); // eslint-disable-line promise/prefer-await-to-then
	yield * responses;
}

async function runAfter(lastBatch: Promise<void>, task: () => Promise<void>): Promise<void> {
	await lastBatch;
	await task();
}
