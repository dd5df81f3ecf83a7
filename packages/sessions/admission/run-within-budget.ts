import type {ByteBudget} from '../byte-budget.ts';

type Options = {
	readonly budget: ByteBudget;
	/** Bytes that are taken while the work runs. */
	readonly bytes: number;
};

/** Bytes that are not counted, as most statements take less. */
const freeBytes = 4 * 1024;

/** Runs work that takes bytes of a budget until it ends; resolves to undefined, without running it, if too few are left. */
export async function runWithinBudget<Result>(run: () => Promise<Result>, {budget, bytes}: Options): Promise<Result | undefined> {
	const counted = bytes <= freeBytes ? 0 : bytes;
	if (counted > 0 && !budget.take(counted)) {
		return undefined;
	}

	try {
		return await run();
	} finally {
		budget.giveBack(counted);
	}
}
