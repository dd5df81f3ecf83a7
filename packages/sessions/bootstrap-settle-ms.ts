/** Milliseconds within which all hosts of a new fleet register, so that every host ranks the same hosts. */
export const bootstrapSettleMs = 600;
