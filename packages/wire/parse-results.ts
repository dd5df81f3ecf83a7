import {fromJsonString} from '@bufbuild/protobuf';
import type {SqlResult} from '@sapphirefall/decisions';
import {decodeResult} from './decode-result.ts';
import {DoneSchema} from './gen/caller_pb.ts';

/**
 * Parses results from the text of an idempotency record.
 *
 * @throws {Error} When the text is not such a record.
 */
export function parseResults(text: string): readonly SqlResult[] {
	return fromJsonString(DoneSchema, text).results.map(result => decodeResult(result));
}
