import {create} from '@bufbuild/protobuf';
import type {SqlValue} from '@sapphirefall/decisions';
import {encodeStatement, StatementSchema, type Statement} from '@sapphirefall/wire';

/**
 * Creates a statement message with encoded parameters.
 *
 * @example
 * createStatement('SELECT * FROM pond WHERE id = ?', [3]);
 */
export function createStatement(sql: string, parameters: readonly SqlValue[] = []): Statement {
	return create(StatementSchema, encodeStatement({sql, parameters}));
}
