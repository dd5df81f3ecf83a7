/** Number of epochs or fencing tokens that can be given out in one era of the store. */
export const epochsPerEra = 1_000_000;
