import {createHash} from 'node:crypto';
import type {Request} from '@sapphirefall/decisions';
import {decodeStatement, type ExecuteRequest} from '@sapphirefall/wire';

const bearer = /^Bearer (?<key>\S+)$/iv;

/**
 * Decodes a caller's request. The result contains the digest of the key instead of the key.
 *
 * @param message The request.
 * @param options The Authorization header, and the identifier to use if the request has none.
 */
export function decodeRequest(
	message: ExecuteRequest,
	options: {readonly authorization: string; readonly fallbackId: string},
): Request {
	const key = bearer.exec(options.authorization)?.groups?.['key'] ?? '';
	return {
		requestId: message.requestId === '' ? options.fallbackId : message.requestId,
		keyDigest: key === '' ? '' : createHash('sha256').update(key).digest('hex'),
		route: message.route,
		database: message.database,
		statements: message.statements.map(statement => decodeStatement(statement)),
		kind: decodeKind(message.kind),
		timeout: message.deadlineMs,
		session: message.session,
	};
}

/** Decodes the kind of a request. A request without a kind is a read, since a read changes nothing. */
function decodeKind(kind: ExecuteRequest['kind']): Request['kind'] {
	return kind.case === 'write'
		? {kind: 'write', idempotencyKey: kind.value.idempotencyKey, isRepeatable: kind.value.repeatable}
		: {kind: 'read', freshness: kind.value?.freshness ?? '', readKind: kind.value?.kind ?? ''};
}
