import type {SqlStatement} from './sql-statement.ts';

/** A request as received from a caller, with the key replaced by its digest. */
export type Request = {
	readonly requestId: string;
	/** SHA-256 of the caller's key, in hexadecimal; empty for a request without a key. */
	readonly keyDigest: string;
	/** Name of an open route; empty for a request with a key. */
	readonly route: string;
	readonly database: string;
	readonly statements: readonly SqlStatement[];
	readonly kind: RequestKind;
	/** Milliseconds that the caller waits for the answer; 0 means the default. */
	readonly timeout: number;
	/** Session token; empty for a request outside a session. */
	readonly session: string;
};

type RequestKind =
	| {readonly kind: 'read'; readonly freshness: string; readonly readKind: string}
	| {readonly kind: 'write'; readonly idempotencyKey: string; readonly isRepeatable: boolean};
