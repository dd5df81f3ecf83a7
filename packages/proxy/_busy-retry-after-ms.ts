/** Milliseconds after which a caller may try again when all connections are busy. */
export const busyRetryAfterMs = 200;
