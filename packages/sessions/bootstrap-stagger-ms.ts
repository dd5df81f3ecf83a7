/**
 * Milliseconds by which each host waits longer than the one before it to name in the store what was never named there.
 * Long, since all hosts find it missing at the same moment, and callers come only later.
 */
export const bootstrapStaggerMs = 1000;
