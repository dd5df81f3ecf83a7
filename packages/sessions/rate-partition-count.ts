/** Number of partitions of the workspaces. All hosts must use the same value, so it must not change while a fleet runs. */
export const ratePartitionCount = 8;
