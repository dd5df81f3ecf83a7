import type {SoakMessage} from './soak-message.ts';

/** Returns whether a message has a whole answer. */
export function isWhole({state}: SoakMessage): boolean {
	return state !== '';
}
