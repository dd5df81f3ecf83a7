import type {Statement} from '@sapphirefall/wire';

/** Transaction state of a connection. */
export type Session = {
	/** Statements to log when the open transaction commits; `undefined` if none is open. */
	transaction: Statement[] | undefined;
	/** Whether the instance rolled back the transaction without a request from the client. */
	isAborted: boolean;
	/**
	 * Whether the session holds a slot. A transaction keeps its slot from begin to end;
	 * otherwise its commit could wait for slots that are held by sessions waiting for its lock.
	 */
	hasSlot: boolean;
	/** Whether a batch of the connection is running. */
	isRunning: boolean;
	/** Whether the connection has closed. A transaction that a waiting batch still begins is then rolled back when the batch ends. */
	isClosed: boolean;
};
