import type {ByteBudget} from './byte-budget.ts';

/** Creates a budget of bytes, none of which is taken. */
export function createByteBudget(limitBytes: number): ByteBudget {
	let taken = 0;
	return {
		take(bytes) {
			if (taken + bytes > limitBytes) {
				return false;
			}

			taken += bytes;
			return true;
		},
		giveBack(bytes) {
			taken -= bytes;
		},
		taken: () => taken,
	};
}
