/** Milliseconds between two moments at which the store confirms to the host that reads it that nothing has changed. */
export const confirmIntervalMs = 1000;
