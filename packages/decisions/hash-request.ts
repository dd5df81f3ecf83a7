import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {SqlValue} from './sql-value.ts';
import type {SqlStatement} from './sql-statement.ts';

/**
 * Hashes the statements of a request, so that the reuse of an idempotency key for another request is detected.
 *
 * The hash covers the SQL texts and the parameters with their types. It excludes identifiers, deadlines and tokens,
 * which differ between attempts of the same request.
 *
 * @returns SHA-256 in hexadecimal.
 */
export function hashRequest(statements: readonly SqlStatement[]): string {
	const canonical = statements.map(({sql, parameters}) => [sql, ...parameters.map(value => encodeValue(value))]);
	return createHash('sha256').update(JSON.stringify(canonical)).digest('hex');
}

function encodeValue(value: SqlValue): string {
	if (value === null) {
		return 'null';
	}

	if (value instanceof Uint8Array) {
		return `blob:${Buffer.from(value).toString('hex')}`;
	}

	return `${typeof value}:${value}`;
}
