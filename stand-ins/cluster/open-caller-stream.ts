import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {
	CallerService, createQueue, createTokenInterceptor, ExecuteRequestSchema, type ExecuteRequest, type ExecuteResponse,
} from '@sapphirefall/wire';
import type {CallerStream} from './caller-stream.ts';

type Waiting = {
	readonly resolve: (response: ExecuteResponse) => void;
	readonly reject: (error: Error) => void;
};

/**
 * Opens a caller's stream to a host and keeps it open; answers are matched by the requests' identifiers.
 *
 * @param baseUrl URL of the host's address for streams.
 * @param key Key of the workspace.
 */
export function openCallerStream(baseUrl: string, key: string): CallerStream {
	const sessionManager = new Http2SessionManager(baseUrl);
	const client = createClient(CallerService, createConnectTransport({
		baseUrl, httpVersion: '2', sessionManager, interceptors: [createTokenInterceptor(key)],
	}));
	const requests = createQueue<ExecuteRequest>();
	const waiting = new Map<string, Waiting>();
	let count = 0;

	const receive = async () => {
		for await (const response of client.converse(requests)) {
			waiting.get(response.requestId)?.resolve(response);
			waiting.delete(response.requestId);
		}
	};

	const rejectAll = (error: Error) => {
		for (const {reject} of waiting.values()) {
			reject(error);
		}

		waiting.clear();
	};

	const run = async () => {
		try {
			await receive();
			rejectAll(new Error('the stream has ended'));
		} catch (error) {
			rejectAll(error as Error);
		}
	};

	void run();
	return {
		async execute(request) {
			count++;
			const requestId = `stream-${count}`;
			return new Promise((resolve, reject) => {
				waiting.set(requestId, {resolve, reject});
				requests.push(create(ExecuteRequestSchema, {...request, requestId}));
			});
		},
		close() {
			requests.end();
			sessionManager.abort();
		},
	};
}
