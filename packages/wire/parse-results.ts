import {fromJsonString} from '@bufbuild/protobuf';
import type {SqlResult} from '@sapphirefall/decisions';
import {decodeResult} from './decode-result.ts';
import {DoneSchema} from './gen/caller_pb.ts';

/**
 * Parses the text of an idempotency record, as written by `formatResults`.
 *
 * @throws {Error} If the text is not a `Done` message in JSON.
 */
export function parseResults(text: string): readonly SqlResult[] {
	return fromJsonString(DoneSchema, text).results.map(result => decodeResult(result));
}
