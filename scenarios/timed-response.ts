import type {ExecuteResponse} from '@sapphirefall/wire';

/** Response to a caller's request, with the time that it took in milliseconds. */
export type TimedResponse = {readonly response: ExecuteResponse; readonly elapsedMs: number};
