import type {Coldness} from './coldness.ts';

/** Whether an instance counts as cold; `now` is in milliseconds of the steady clock. */
export function isCold({coldUntil}: Coldness, now: number): boolean {
	return now < coldUntil;
}
