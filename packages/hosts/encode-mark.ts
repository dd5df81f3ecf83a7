import type {MessageInitShape} from '@bufbuild/protobuf';
import type {TableMark} from '@sapphirefall/sessions';
import type {TableMark as Message, TableMarkSchema} from '@sapphirefall/wire';

/** Encodes a table mark. */
export function encodeMark({newest, count}: TableMark): Exclude<MessageInitShape<typeof TableMarkSchema>, Message> {
	return {newest: BigInt(newest), count};
}
