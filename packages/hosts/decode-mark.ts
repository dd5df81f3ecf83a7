import type {TableMark} from '@sapphirefall/sessions';
import type {TableMark as Message} from '@sapphirefall/wire';

/** Decodes the mark of a table's state; a message without one tells an empty table. */
export function decodeMark(message: Message | undefined): TableMark {
	return {newest: Number(message?.newest ?? 0), count: message?.count ?? 0};
}
