import {create} from '@bufbuild/protobuf';
import type {SqlValue} from '@sapphirefall/decisions';
import {ValueSchema, type Value} from './gen/values_pb.ts';

/** Encodes a SQL value. A number that is a safe integer becomes an integer, any other number a real. */
export function encodeValue(value: SqlValue): Value {
	if (value === null) {
		return create(ValueSchema, {kind: {case: 'null', value: true}});
	}

	if (value instanceof Uint8Array) {
		return create(ValueSchema, {kind: {case: 'blob', value}});
	}

	switch (typeof value) {
		case 'string': {
			return create(ValueSchema, {kind: {case: 'text', value}});
		}

		case 'bigint': {
			return create(ValueSchema, {kind: {case: 'integer', value}});
		}

		default: {
			return create(ValueSchema, {
				kind: Number.isSafeInteger(value)
					? {case: 'integer', value: BigInt(value)}
					: {case: 'real', value},
			});
		}
	}
}
