/** Share of what the need leaves that may be lent ahead of demand. */
const aheadShare = 0.25;

/**
 * Chooses how many units to lend: none that would not cover the need, and beyond it only a part of what is left.
 *
 * Units that lie unused at one host are missing at the others, the more so the fewer there are.
 *
 * @param level Units that there are.
 * @param asked The units without which the loan is of no use, and those that are wanted.
 */
export function chooseLoanSize(
	level: number,
	{needed, wanted}: {readonly needed: number; readonly wanted: number},
): number {
	return level < needed ? 0 : Math.min(wanted, needed + ((level - needed) * aheadShare));
}
