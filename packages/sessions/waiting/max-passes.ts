/** Number of requests of other priorities that may be served in a row while requests of a priority wait. */
export const maxPasses = 32;
