/** Hybrid logical times in one millisecond. */
export const timesPerMillisecond = 65_536n;
