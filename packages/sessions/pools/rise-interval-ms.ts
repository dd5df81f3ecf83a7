/** Milliseconds after a refusal for too many connections in which one further connection is allowed. */
export const riseIntervalMs = 150;
