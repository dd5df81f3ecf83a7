import type {SqlStatement} from './sql-statement.ts';

/** A request as a caller sent it. */
export type Request = {
	readonly requestId: string;
	/** SHA-256 of the caller's key in hexadecimal; empty without a key. */
	readonly keyDigest: string;
	readonly route: string;
	readonly database: string;
	readonly statements: readonly SqlStatement[];
	readonly kind: RequestKind;
	/** Milliseconds that the caller is willing to wait; 0 means the default. */
	readonly timeout: number;
	/** Session token; empty without one. */
	readonly session: string;
};

type RequestKind =
	| {readonly kind: 'read'; readonly freshness: string; readonly readKind: string}
	| {readonly kind: 'write'; readonly idempotencyKey: string; readonly isRepeatable: boolean};
