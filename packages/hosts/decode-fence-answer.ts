import type {FenceAnswer} from '@sapphirefall/sessions';
import {decodePoint, type FenceGroupResponse} from '@sapphirefall/wire';
import {decodePosition} from './decode-position.ts';

/** Decodes the answer of a host that was asked to release its lease on a primary. */
export function decodeFenceAnswer({
	fenced, uptimeMs, newest, commit,
}: FenceGroupResponse): FenceAnswer {
	return {
		isFenced: fenced,
		...uptimeMs !== undefined && {uptimeMs},
		...newest && {newest: decodePosition(newest)},
		...commit && {commit: {epoch: Number(commit.epoch), after: decodePoint(commit.after)}},
	};
}
