import type {BudgetShare} from './budget-share.ts';
import type {ByteBudget} from './byte-budget.ts';

/** Creates the share of one user of a budget, who may take `limitBytes` at most. Fewer bytes can always be taken. */
export function createBudgetShare(budget: ByteBudget, limitBytes: number): BudgetShare {
	let taken = 0;
	return {
		change(bytes) {
			if (bytes > 0 && taken + bytes > limitBytes) {
				return 'tooMuch';
			}

			if (bytes > 0 && !budget.take(bytes)) {
				return 'exhausted';
			}

			if (bytes < 0) {
				budget.giveBack(-bytes);
			}

			taken += bytes;
			return 'taken';
		},
		end() {
			budget.giveBack(taken);
			taken = 0;
		},
	};
}
