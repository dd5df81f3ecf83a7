import type {SqlStatement} from '@sapphirefall/decisions';
import {decodeValue} from './decode-value.ts';
import type {Statement} from './gen/values_pb.ts';

/** Decodes a SQL statement and its parameters. */
export function decodeStatement(statement: Statement): SqlStatement {
	return {sql: statement.sql, parameters: statement.parameters.map(value => decodeValue(value))};
}
