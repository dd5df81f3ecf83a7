/** Share of the units beyond the need that a lender grants ahead of demand. */
const prefetchShare = 0.25;

/**
 * Chooses how many units to lend: 0 when the need is not covered, else the need and a share of the remaining units.
 *
 * Units that one host holds unused are unavailable to the other hosts, which matters more the fewer units remain.
 *
 * @param level Units available.
 * @param request The units without which the loan is of no use, and the units that the borrower would like.
 */
export function chooseLoanSize(
	level: number,
	{needed, wanted}: {readonly needed: number; readonly wanted: number},
): number {
	return level < needed ? 0 : Math.min(wanted, needed + ((level - needed) * prefetchShare));
}
