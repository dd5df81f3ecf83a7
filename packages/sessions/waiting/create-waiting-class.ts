import type {WaitingRequest} from './waiting-request.ts';
import {addToLane} from './add-to-lane.ts';
import {chooseLane} from './choose-lane.ts';
import {dropFromLane} from './drop-from-lane.ts';
import {updateLane} from './update-lane.ts';
import type {WaitingClass} from './waiting-class.ts';
import type {WaitingLane} from './waiting-lane.ts';

/** Creates a class without requests. */
export function createWaitingClass<Request extends WaitingRequest>(priority: number): WaitingClass<Request> {
	/** Lanes by workspace. An empty one is kept while its round lies ahead, so that a workspace cannot join a round twice. */
	const lanes = new Map<string, WaitingLane<Request>>();
	/** Number of the present round. */
	let round = 0;
	let all = 0;
	let onTime = 0;

	const setLane = (lane: WaitingLane<Request>) => {
		const previous = lanes.get(lane.workspace);
		all += countLane(lane) - (previous === undefined ? 0 : countLane(previous));
		onTime += lane.onTime.length - (previous?.onTime.length ?? 0);
		lanes.set(lane.workspace, lane);
	};

	/** Begins the next round if all workspaces were served in the present one. */
	const updateRound = () => {
		let next = Number.POSITIVE_INFINITY;
		for (const lane of lanes.values()) {
			next = countLane(lane) > 0 ? Math.min(next, lane.round) : next;
		}

		round = Number.isFinite(next) ? next : round;
		for (const lane of lanes.values()) {
			if (countLane(lane) === 0 && lane.round <= round) {
				lanes.delete(lane.workspace);
			}
		}
	};

	const drop = (request: Request, turns: number) => {
		const lane = lanes.get(request.workspace);
		if (lane !== undefined) {
			const shorter = dropFromLane(lane, request);
			setLane({...shorter, round: lane.round + turns});
			updateRound();
		}
	};

	return {
		priority,
		add(request) {
			const {workspace} = request;
			const lane = lanes.get(workspace) ?? {
				workspace, onTime: [], late: [], round,
			};
			setLane(addToLane(lane, request));
		},
		remove(request) {
			drop(request, 0);
		},
		update(options) {
			for (const lane of lanes.values()) {
				const updated = updateLane(lane, options);
				if (updated !== lane) {
					setLane(updated);
				}
			}
		},
		findNext(options) {
			const chosen = chooseLane(lanes.values(), options);
			const request = chosen?.lane.onTime[0] ?? chosen?.lane.late[0];
			return chosen && request && {request, isOnTime: !chosen.turn.isLate};
		},
		take(request) {
			drop(request, 1);
		},
		listLanes: () => lanes.values(),
		count: () => ({all, onTime}),
	};
}

function countLane<Request>({onTime, late}: WaitingLane<Request>): number {
	return onTime.length + late.length;
}
