import type {ResultCode} from '@sapphirefall/decisions';

/** Ends a command with an exit code of the result-code table and one sentence on the error stream. */
export class CommandError extends Error {
	constructor(readonly code: ResultCode, message: string) {
		super(message);
		this.name = 'CommandError';
	}
}
