import type {WaitingRequest} from '../waiting/waiting-request.ts';
import type {TransactionPermit} from './transaction-permit.ts';

/** A request that waits to enter. */
export type EnteringRequest = WaitingRequest & {
	/** A single statement, or a transaction that begins. */
	readonly kind: 'single' | 'begin';
	/** When it began to wait, in milliseconds of the steady clock. */
	readonly since: number;
	/** Permit of a transaction, once it has one. */
	permit?: TransactionPermit;
};
