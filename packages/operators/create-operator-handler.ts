import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	Code, ConnectError, type ConnectRouter, type HandlerContext,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {resultCodes} from '@sapphirefall/decisions';
import {OperatorService} from '@sapphirefall/wire';
import {decodeChange} from './decode-change.ts';
import type {OperatorBackend} from './operator-backend.ts';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const httpOk = 200;
const httpUnauthorized = 401;
const httpUnavailable = 503;
const textHeaders = {'content-type': 'text/plain; charset=utf-8'};

/**
 * Creates the HTTP handler of the operator interface.
 *
 * `/health`, `/ready` and `/metrics` need no token. `/events` and the operator service need the operator token.
 *
 * @param backend Carries out the requests.
 * @param tokenDigest SHA-256 of the operator token, in hexadecimal.
 */
export function createOperatorHandler(backend: OperatorBackend, tokenDigest: string): Handler {
	const isOperator = (authorization: string) => hasToken(authorization, tokenDigest);
	const service = connectNodeAdapter({
		routes(router) {
			addService(router, {backend, isOperator});
		},
	});
	return (request, response) => {
		switch (request.url) {
			case '/health': {
				respond(response, {status: httpOk, text: 'The host runs.\n'});
				break;
			}

			case '/ready': {
				const isReady = backend.isReady();
				respond(response, {
					status: isReady ? httpOk : httpUnavailable,
					text: isReady ? 'The host serves.\n' : 'The host does not serve keyed requests.\n',
				});
				break;
			}

			case '/metrics': {
				void respondWithMetrics(backend, response);
				break;
			}

			case '/events': {
				const isAllowed = isOperator(request.headers.authorization ?? '');
				respond(response, isAllowed
					? {status: httpOk, text: backend.formatEvents()}
					: {status: httpUnauthorized, text: 'The operator token is missing or wrong.\n'});
				break;
			}

			default: {
				service(request, response);
			}
		}
	};
}

function respond(response: ServerResponse, content: {readonly status: number; readonly text: string}): void {
	response.writeHead(content.status, textHeaders);
	response.end(content.text);
}

async function respondWithMetrics(backend: OperatorBackend, response: ServerResponse): Promise<void> {
	respond(response, {status: httpOk, text: await backend.readMetrics()});
}

function hasToken(authorization: string, tokenDigest: string): boolean {
	const token = /^Bearer (?<token>\S+)$/iv.exec(authorization)?.groups?.['token'] ?? '';
	const digest = createHash('sha256').update(token).digest();
	return timingSafeEqual(digest, Buffer.from(tokenDigest, 'hex'));
}

function addService(
	router: ConnectRouter,
	options: {readonly backend: OperatorBackend; readonly isOperator: (authorization: string) => boolean},
): void {
	const {backend, isOperator} = options;
	const requireOperator = (context: HandlerContext) => {
		if (!isOperator(context.requestHeader.get('authorization') ?? '')) {
			throw new ConnectError('the operator token is missing or wrong', Code.Unauthenticated);
		}
	};

	router.service(OperatorService, {
		async change(request, context) {
			requireOperator(context);
			const decoded = decodeChange(request);
			return decoded.kind === 'invalid' || request.changeId === ''
				? {
					code: resultCodes.changeInvalid,
					reason: decoded.kind === 'invalid' ? decoded.reason : 'the change has no identifier',
				}
				: backend.change(request, decoded.change);
		},
		status(_request, context) {
			requireOperator(context);
			return backend.readStatus();
		},
		drain(_request, context) {
			requireOperator(context);
			backend.drain();
			return {};
		},
	});
}
