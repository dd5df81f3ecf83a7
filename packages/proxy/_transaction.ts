import type {Connection} from '@sapphirefall/endpoints';
import type {ExecutionContext} from './execution-context.ts';
import type {WriteRequest} from './_write-request.ts';

/** One attempt at a write: a connection to the primary of a term, for as long as the signal allows. */
export type Transaction = {
	readonly request: WriteRequest;
	readonly context: ExecutionContext;
	readonly connection: Connection;
	readonly term: number;
	readonly signal: AbortSignal;
};
