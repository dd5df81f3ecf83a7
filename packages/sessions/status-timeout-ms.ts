/** Milliseconds within which an instance must report its status during a failover. */
export const statusTimeoutMs = 400;
