/** Milliseconds beyond its idle limit after which a transaction is rolled back because its session sends nothing any more. */
export const abandonedMarginMs = 1500;
