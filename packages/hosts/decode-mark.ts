import type {TableMark} from '@sapphirefall/sessions';
import type {TableMark as Message} from '@sapphirefall/wire';

/** Decodes a table mark; a missing message decodes to the mark of an empty table. */
export function decodeMark(message: Message | undefined): TableMark {
	return {newest: Number(message?.newest ?? 0), count: message?.count ?? 0};
}
