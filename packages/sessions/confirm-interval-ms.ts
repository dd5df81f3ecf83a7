/** Milliseconds between two answers in which the store confirms its tables to the host that reads them, changed or not. */
export const confirmIntervalMs = 500;
