/** Whether a session or a connection is in a transaction, and whether that has failed. */
export type SessionState = 'idle' | 'open' | 'failed';
