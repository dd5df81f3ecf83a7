import type {Connection} from '@sapphirefall/endpoints';
import type {ExecutionContext} from './execution-context.ts';
import type {WriteRequest} from './_write-request.ts';

/** One attempt at a write, on a connection to the primary of a term. */
export type Transaction = {
	readonly request: WriteRequest;
	readonly context: ExecutionContext;
	readonly connection: Connection;
	readonly term: number;
	/** Aborts when the term ends or the deadline passes. */
	readonly signal: AbortSignal;
};
