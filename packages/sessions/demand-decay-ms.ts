/** Time constant of the exponential smoothing of demand, in milliseconds: an observation decays to 1/e, about a third. */
export const demandDecayMs = 1500;
