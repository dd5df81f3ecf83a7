import type {WaitingRequest} from './waiting-request.ts';
import {compareTurns} from './compare-turns.ts';
import {findLaneTurn} from './find-lane-turn.ts';
import type {LaneTurn} from './lane-turn.ts';
import type {WaitingLane} from './waiting-lane.ts';

type Options = {
	/** Whether a workspace goes before the others of its round. */
	readonly isPreferred: (workspace: string) => boolean;
};

type Chosen<Request> = {
	readonly lane: WaitingLane<Request>;
	/** Turn of the lane's first request. */
	readonly turn: LaneTurn;
};

/**
 * Chooses the workspace that is served next within a priority; undefined if nothing waits.
 *
 * Each workspace that waits is served once in a round, so that one with many requests delays its own only. Within a round,
 * the earliest due time goes first.
 */
export function chooseLane<Request extends WaitingRequest>(lanes: Iterable<WaitingLane<Request>>, {isPreferred}: Options): Chosen<Request> | undefined {
	let first: Chosen<Request> | undefined;
	let preferred: Chosen<Request> | undefined;
	for (const lane of lanes) {
		const turn = findLaneTurn(lane, 0);
		if (turn === undefined) {
			continue;
		}

		first = first !== undefined && compareTurns(first.turn, turn) <= 0 ? first : {lane, turn};
		if (isPreferred(lane.workspace)) {
			preferred = preferred !== undefined && compareTurns(preferred.turn, turn) <= 0 ? preferred : {lane, turn};
		}
	}

	const isInRound = preferred !== undefined && preferred.turn.round === first?.turn.round && preferred.turn.isLate === first.turn.isLate;
	return isInRound ? preferred : first;
}
