/** Share by which a lender outwaits a loan, so that a borrower with a slower clock has stopped before. */
export const driftMargin = 1.1;
