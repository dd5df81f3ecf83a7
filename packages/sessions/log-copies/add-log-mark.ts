import {comparePoints} from '@sapphirefall/decisions';
import type {LogMark} from './log-mark.ts';

/** Joins what is known of the log of a group's primary with another answer of it; an answer of an earlier primary changes nothing. */
export function addLogMark(known: LogMark | undefined, added: LogMark): LogMark {
	if (known === undefined || added.epoch > known.epoch) {
		return added;
	}

	if (added.epoch < known.epoch) {
		return known;
	}

	return {
		epoch: known.epoch,
		position: comparePoints(added.position, known.position) > 0 ? added.position : known.position,
		requestedAt: added.requestedAt.steady > known.requestedAt.steady ? added.requestedAt : known.requestedAt,
	};
}
