import {create} from '@bufbuild/protobuf';
import type {SqlStatement} from '@sapphirefall/decisions';
import {encodeValue} from './encode-value.ts';
import {StatementSchema, type Statement} from './gen/values_pb.ts';

/** Encodes a SQL statement and its parameters. */
export function encodeStatement(statement: SqlStatement): Statement {
	return create(StatementSchema, {
		sql: statement.sql,
		parameters: statement.parameters.map(value => encodeValue(value)),
	});
}
