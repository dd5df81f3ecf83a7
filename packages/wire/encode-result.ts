import {create} from '@bufbuild/protobuf';
import type {SqlResult} from '@sapphirefall/decisions';
import {encodeValue} from './encode-value.ts';
import {StatementResultSchema, type StatementResult} from './gen/values_pb.ts';

/** Encodes the result of a SQL statement. */
export function encodeResult(result: SqlResult): StatementResult {
	return create(StatementResultSchema, {
		columns: [...result.columns],
		rows: result.rows.map(row => ({values: row.map(value => encodeValue(value))})),
		changes: result.changes,
	});
}
