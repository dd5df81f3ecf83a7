import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {
	CallerService, createQueue, createTokenInterceptor, ExecuteRequestSchema, type ExecuteRequest, type ExecuteResponse,
} from '@sapphirefall/wire';
import type {CallerStream} from './caller-stream.ts';

type PendingRequest = {
	readonly resolve: (response: ExecuteResponse) => void;
	readonly reject: (error: Error) => void;
};

/**
 * Opens a stream of a caller to a host. Requests may overlap; answers are matched to them by request identifier.
 *
 * @param baseUrl URL at which the host accepts streams.
 * @param key Key of the caller.
 */
export function openCallerStream(baseUrl: string, key: string): CallerStream {
	const sessionManager = new Http2SessionManager(baseUrl);
	const client = createClient(CallerService, createConnectTransport({
		baseUrl, httpVersion: '2', sessionManager, interceptors: [createTokenInterceptor(key)],
	}));
	const requests = createQueue<ExecuteRequest>();
	const pending = new Map<string, PendingRequest>();
	let requestCount = 0;

	const receiveResponses = async () => {
		for await (const response of client.converse(requests)) {
			pending.get(response.requestId)?.resolve(response);
			pending.delete(response.requestId);
		}
	};

	const rejectPending = (error: Error) => {
		for (const {reject} of pending.values()) {
			reject(error);
		}

		pending.clear();
	};

	const runStream = async () => {
		try {
			await receiveResponses();
			rejectPending(new Error('the host ended the stream before it answered'));
		} catch (error) {
			rejectPending(error as Error);
		}
	};

	void runStream();
	return {
		async execute(request) {
			requestCount++;
			const requestId = `stream-${requestCount}`;
			return new Promise((resolve, reject) => {
				pending.set(requestId, {resolve, reject});
				requests.push(create(ExecuteRequestSchema, {...request, requestId}));
			});
		},
		close() {
			requests.end();
			sessionManager.abort();
		},
	};
}
