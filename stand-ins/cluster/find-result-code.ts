import type {ExecuteResponse} from '@sapphirefall/wire';

/** Finds the result code of an answer; -1 when it has none. */
export function findResultCode(response: ExecuteResponse): number {
	return response.answer.value?.code ?? -1;
}
