import {decodePoint, type GroupSample} from '@sapphirefall/wire';
import type {PrimaryPosition} from '@sapphirefall/sessions';

/** Decodes the position of a primary's log. */
export function decodePosition({
	group, epoch, position, ageMs,
}: GroupSample): PrimaryPosition {
	return {
		group, epoch: Number(epoch), position: decodePoint(position), age: ageMs,
	};
}
