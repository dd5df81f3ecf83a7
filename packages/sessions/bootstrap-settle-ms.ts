/** Milliseconds in which all hosts of a fleet register that starts for the first time, so that each knows who does what. */
export const bootstrapSettleMs = 600;
