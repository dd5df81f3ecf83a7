import type {ResultCode} from '@sapphirefall/decisions';

/** Ends a command: `code` becomes the exit code, and the message is printed to the error stream. */
export class CommandError extends Error {
	constructor(readonly code: ResultCode, message: string) {
		super(message);
		this.name = 'CommandError';
	}
}
