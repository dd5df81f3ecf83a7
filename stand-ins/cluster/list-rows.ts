import type {SqlValue} from '@sapphirefall/decisions';
import {decodeResult, type ExecuteResponse} from '@sapphirefall/wire';

/** Lists the rows of the first result of an answer. Returns an empty list if the request did not succeed. */
export function listRows(response: ExecuteResponse): ReadonlyArray<readonly SqlValue[]> {
	const [result] = response.answer.case === 'done' ? response.answer.value.results : [];
	return result === undefined ? [] : decodeResult(result).rows;
}
