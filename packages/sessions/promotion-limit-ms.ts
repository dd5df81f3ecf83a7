/** Milliseconds after which a promotion has taken effect, if it takes effect at all. */
export const promotionLimitMs = 1500;
