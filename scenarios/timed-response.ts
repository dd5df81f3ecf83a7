import type {ExecuteResponse} from '@sapphirefall/wire';

/** An answer and the milliseconds that it took. */
export type TimedResponse = {readonly response: ExecuteResponse; readonly elapsedMs: number};
