import type {WaitingRequest} from './waiting-request.ts';

/** Finds the time by which a request should be served, in milliseconds of the steady clock: its target if it has one before its deadline. */
export function findTarget({target, deadline}: Pick<WaitingRequest, 'target' | 'deadline'>): number {
	return target !== undefined && target < deadline ? target : deadline;
}
