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

type Handled = {
	readonly answer: Answer;
	/** The session token to hand out; empty for none. */
	readonly session: string;
};

type Options = {
	readonly handle: (request: Request) => Promise<Handled>;
	/** Bytes of the largest request. */
	readonly maxRequestBytes: number;
	/** Creates an identifier for a request that has none. */
	readonly createRequestId: () => string;
};

type NodeRequest = IncomingMessage | Http2ServerRequest;
type NodeResponse = ServerResponse | Http2ServerResponse;

const jsonHeaders = {'content-type': 'application/json'};
const httpNotFound = 404;
const httpBadRequest = 400;

/**
 * Creates the HTTP handler that callers speak to: Connect, gRPC, or plain JSON.
 *
 * A request that cannot be decoded is answered as "not run" with its code, like any other refusal.
 *
 * @param options What runs a request, and the limits.
 */
export function createCallerHandler(options: Options): (request: NodeRequest, response: NodeResponse) => void {
	const answerOne = async (message: ExecuteRequest, context: HandlerContext): Promise<ExecuteResponse> => {
		const authorization = context.requestHeader.get('authorization') ?? '';
		const request = decodeRequest(message, {authorization, fallbackId: options.createRequestId()});
		const {answer, session} = await options.handle(request);
		return encodeAnswer(answer, {requestId: request.requestId, session});
	};

	/** Answers a request of a stream; one that fails harms no other. */
	const answerSafely = async (message: ExecuteRequest, context: HandlerContext): Promise<ExecuteResponse> => {
		try {
			return await answerOne(message, context);
		} catch {
			return encodeAnswer(createFailure(), {requestId: message.requestId, session: ''});
		}
	};

	const router = createConnectRouter({readMaxBytes: options.maxRequestBytes, jsonOptions: {ignoreUnknownFields: false}});
	router.service(CallerService, {
		execute: answerOne,
		async * converse(messages, context) {
			yield * serveMessages(messages, async message => answerSafely(message, context));
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
			response.end(`${formatUndecodable(result.status, options.maxRequestBytes)}\n`);
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

/** Formats the answer to a request that could not be decoded. */
function formatUndecodable(status: number, largest: number): string {
	const httpTooManyRequests = 429;
	const refusal = status === httpTooManyRequests
		? createRefusal(resultCodes.tooLarge, {reason: `the request is larger than the ${largest} bytes allowed`})
		: createRefusal(resultCodes.malformed, {reason: 'the request is not a valid ExecuteRequest in JSON'});
	return JSON.stringify(toJson(ExecuteResponseSchema, encodeAnswer(refusal, {requestId: '', session: ''})));
}
