/** Milliseconds after which a caller may retry when all connections are in use. */
export const busyRetryAfterMs = 200;
