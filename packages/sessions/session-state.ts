/** Transaction state of a session or a connection: none, open, or failed and not yet ended. */
export type SessionState = 'idle' | 'open' | 'failed';
