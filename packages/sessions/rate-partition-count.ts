/** Partitions of the workspaces. All hosts must agree on it, so it never changes while a fleet runs. */
export const ratePartitionCount = 8;
