import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {SqlValue} from './sql-value.ts';
import type {SqlStatement} from './sql-statement.ts';

/**
 * Hashes what a request does, so that an idempotency key cannot stand for two different requests.
 *
 * Parameters are hashed with their type; identifiers, deadlines and tokens are left out.
 *
 * @returns SHA-256 in hexadecimal.
 */
export function hashRequest(statements: readonly SqlStatement[]): string {
	const canonical = statements.map(({sql, parameters}) => [sql, ...parameters.map(value => describeValue(value))]);
	return createHash('sha256').update(JSON.stringify(canonical)).digest('hex');
}

function describeValue(value: SqlValue): string {
	if (value === null) {
		return 'null';
	}

	if (value instanceof Uint8Array) {
		return `blob:${Buffer.from(value).toString('hex')}`;
	}

	return `${typeof value}:${value}`;
}
