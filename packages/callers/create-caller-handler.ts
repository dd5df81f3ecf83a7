import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Http2ServerRequest, Http2ServerResponse} from 'node:http2';
import {toJson} from '@bufbuild/protobuf';
import {createConnectRouter, type HandlerContext} from '@connectrpc/connect';
import {universalRequestFromNodeRequest, universalResponseToNodeResponse} from '@connectrpc/connect-node';
import {
	createFailure, createRefusal, resultCodes, type Answer, type Request,
} from '@sapphirefall/decisions';
import {
	CallerService, ExecuteResponseSchema, serveMessages, type ExecuteRequest, type ExecuteResponse,
} from '@sapphirefall/wire';
import {decodeRequest} from './decode-request.ts';
import {encodeAnswer} from './encode-answer.ts';

type HandledRequest = {
	readonly answer: Answer;
	/** Session token for the caller; empty for none. */
	readonly session: string;
};

type Options = {
	/** Runs a request. */
	readonly handle: (request: Request) => Promise<HandledRequest>;
	/** Maximum bytes of a request. */
	readonly maxRequestBytes: number;
	/** Creates an identifier for a request without one. */
	readonly createRequestId: () => string;
};

type NodeRequest = IncomingMessage | Http2ServerRequest;
type NodeResponse = ServerResponse | Http2ServerResponse;

const jsonHeaders = {'content-type': 'application/json'};
const httpNotFound = 404;
const httpBadRequest = 400;

/**
 * Creates the HTTP handler for callers, which accepts Connect, gRPC and JSON.
 *
 * A request in JSON that cannot be decoded is answered as "not run" with a result code, like any other refusal.
 */
export function createCallerHandler(options: Options): (request: NodeRequest, response: NodeResponse) => void {
	const answerRequest = async (message: ExecuteRequest, context: HandlerContext): Promise<ExecuteResponse> => {
		const authorization = context.requestHeader.get('authorization') ?? '';
		const request = decodeRequest(message, {authorization, fallbackId: options.createRequestId()});
		const {answer, session} = await options.handle(request);
		return encodeAnswer(answer, {requestId: request.requestId, session});
	};

	/** Answers a request of a stream. An error becomes an answer, so that it does not end the stream for other requests. */
	const answerStreamRequest = async (message: ExecuteRequest, context: HandlerContext): Promise<ExecuteResponse> => {
		try {
			return await answerRequest(message, context);
		} catch {
			return encodeAnswer(createFailure(), {requestId: message.requestId, session: ''});
		}
	};

	const router = createConnectRouter({readMaxBytes: options.maxRequestBytes, jsonOptions: {ignoreUnknownFields: false}});
	router.service(CallerService, {
		execute: answerRequest,
		async * converse(messages, context) {
			yield * serveMessages(messages, async message => answerStreamRequest(message, context));
		},
	});
	const handlers = new Map(router.handlers.map(handler => [handler.requestPath, handler]));

	const serve = async (request: NodeRequest, response: NodeResponse) => {
		const handler = handlers.get(new URL(request.url ?? '', 'http://host').pathname);
		if (handler === undefined) {
			response.writeHead(httpNotFound, jsonHeaders);
			response.end('{"message":"callers use POST /sapphirefall.v1.CallerService/Execute"}\n');
			return;
		}

		const universal = universalRequestFromNodeRequest(request, response, undefined, undefined);
		const result = await handler(universal);
		const isJson = (request.headers['content-type'] ?? '').startsWith('application/json');
		if (result.status >= httpBadRequest && isJson) {
			response.writeHead(result.status, jsonHeaders);
			response.end(`${formatRejection(result.status, options.maxRequestBytes)}\n`);
			return;
		}

		await universalResponseToNodeResponse(result, response);
	};

	return (request, response) => {
		serve(request, response).catch(() => { // eslint-disable-line promise/prefer-await-to-then
			response.destroy();
		});
	};
}

/** Formats the answer to a request that the router rejected. The router reports a request that is too large as 429. */
function formatRejection(status: number, maxRequestBytes: number): string {
	const httpTooManyRequests = 429;
	const refusal = status === httpTooManyRequests
		? createRefusal(resultCodes.tooLarge, {reason: `the request is larger than the ${maxRequestBytes} bytes allowed`})
		: createRefusal(resultCodes.malformed, {reason: 'the request is not a valid ExecuteRequest in JSON'});
	return JSON.stringify(toJson(ExecuteResponseSchema, encodeAnswer(refusal, {requestId: '', session: ''})));
}
