import type {resultCodes} from './result-codes.ts';

/** A result code from {@link resultCodes}. */
export type ResultCode = (typeof resultCodes)[keyof typeof resultCodes];
