import type {Statement} from '@sapphirefall/wire';

/** A database connection's side of a transaction. */
export type Session = {
	/** Statements to log when the transaction commits; undefined outside one. */
	transaction: Statement[] | undefined;
	/** Set when the instance rolled the transaction back by itself. */
	isAborted: boolean;
	/** A transaction keeps its slot from beginning to end, so that its commit never waits behind those that wait for its lock. */
	hasSlot: boolean;
	isRunning: boolean;
	/** Set when the connection has closed; what still waited for the lock then ends at once. */
	isClosed: boolean;
};
