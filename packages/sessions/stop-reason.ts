/** Reason of refusals while the host stops, for callers and the log. */
export const stopReason = 'The host is stopping; other hosts take the statement';
