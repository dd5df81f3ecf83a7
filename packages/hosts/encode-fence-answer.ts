import type {MessageInitShape} from '@bufbuild/protobuf';
import type {FenceAnswer} from '@sapphirefall/sessions';
import type {FenceGroupResponse, FenceGroupResponseSchema} from '@sapphirefall/wire';
import {encodePosition} from './encode-position.ts';

/** Encodes the answer of a host that was asked to release its lease on a primary; one that did not tell has not released it. */
export function encodeFenceAnswer(answer: FenceAnswer | undefined): Exclude<MessageInitShape<typeof FenceGroupResponseSchema>, FenceGroupResponse> {
	const {
		isFenced = false, uptimeMs, newest, commit,
	} = answer ?? {};
	return {
		fenced: isFenced,
		...uptimeMs !== undefined && {uptimeMs},
		...newest && {newest: encodePosition(newest)},
		...commit && {commit: {epoch: BigInt(commit.epoch), after: commit.after}},
	};
}
