import type {resultCodes} from './result-codes.ts';

/** A number of the result-code table. */
export type ResultCode = (typeof resultCodes)[keyof typeof resultCodes];
