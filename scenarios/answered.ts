import type {ExecuteResponse} from '@sapphirefall/wire';

/** An answer and the milliseconds that it took. */
export type Answered = {readonly response: ExecuteResponse; readonly elapsed: number};
