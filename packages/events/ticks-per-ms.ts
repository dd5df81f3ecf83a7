/** Hybrid logical times in one millisecond. */
export const ticksPerMs = 65_536n;
