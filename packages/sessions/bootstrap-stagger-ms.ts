/**
 * Milliseconds by which each host waits longer than the host ranked before it to create a row that the store never had.
 * The delay is long because all hosts find the row missing at the same moment, and callers arrive only later.
 */
export const bootstrapStaggerMs = 1000;
