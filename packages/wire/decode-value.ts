import type {SqlValue} from '@sapphirefall/decisions';
import type {Value} from './gen/values_pb.ts';

/** Decodes a SQL value; a message without a kind is NULL. */
export function decodeValue(value: Value): SqlValue {
	return value.kind.case === undefined || value.kind.case === 'null' ? null : value.kind.value;
}
