/**
 * Greatest assumed ratio of two hosts' clock rates. A lender waits longer than a loan lasts by this factor, so that a
 * borrower with a slower clock has stopped before.
 */
export const driftMargin = 1.1;
