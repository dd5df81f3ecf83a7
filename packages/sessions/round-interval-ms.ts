/** Milliseconds between two rounds of status requests to the instances in a failover. */
export const roundIntervalMs = 100;
