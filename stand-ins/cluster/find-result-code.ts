import type {ExecuteResponse} from '@sapphirefall/wire';

/** Finds the result code of an answer. Returns -1 if the answer has none. */
export function findResultCode(response: ExecuteResponse): number {
	return response.answer.value?.code ?? -1;
}
