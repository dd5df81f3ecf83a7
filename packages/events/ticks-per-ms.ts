/** Ticks of the hybrid logical clock per millisecond: 2^16, the range of its counter. */
export const ticksPerMs = 65_536n;
