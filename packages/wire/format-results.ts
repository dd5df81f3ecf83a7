import {create, toJsonString} from '@bufbuild/protobuf';
import type {SqlResult} from '@sapphirefall/decisions';
import {encodeResult} from './encode-result.ts';
import {DoneSchema} from './gen/caller_pb.ts';

/** Formats results as the text that is stored in an idempotency record: a `Done` message in JSON. */
export function formatResults(results: readonly SqlResult[]): string {
	return toJsonString(DoneSchema, create(DoneSchema, {results: results.map(result => encodeResult(result))}));
}
