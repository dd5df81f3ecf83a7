/** Milliseconds in which the memory of demand fades to a third. */
export const demandDecayMs = 1500;
