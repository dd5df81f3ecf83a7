import type {SqlResult} from '@sapphirefall/decisions';
import {decodeValue} from './decode-value.ts';
import type {StatementResult} from './gen/values_pb.ts';

/** Decodes the result of a SQL statement. */
export function decodeResult(result: StatementResult): SqlResult {
	return {
		columns: result.columns,
		rows: result.rows.map(row => row.values.map(value => decodeValue(value))),
		changes: result.changes,
	};
}
