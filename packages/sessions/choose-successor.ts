import {comparePoints} from '@sapphirefall/decisions';
import type {InstanceStatus} from './instance-status.ts';

/** An instance that answered, and what it said. */
type Candidate = {
	readonly id: string;
	readonly status: InstanceStatus;
	readonly isDeparting: boolean;
};

/** Chooses the instance that is furthest ahead, so that least is lost; of equal ones the first by name. */
export function chooseSuccessor(candidates: readonly Candidate[]): Candidate | undefined {
	const staying = candidates.filter(({isDeparting}) => !isDeparting);
	return (staying.length > 0 ? staying : candidates)
		.toSorted((a, b) => comparePoints(b.status.received, a.status.received) || (a.id < b.id ? -1 : 1))
		.at(0);
}
