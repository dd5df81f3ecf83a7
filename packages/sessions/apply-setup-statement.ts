import {Buffer} from 'node:buffer';
import type {BudgetShare} from './budget-share.ts';
import {createBusyFailure} from './create-busy-failure.ts';
import {createFailure} from './create-failure.ts';
import {emptyResult} from './empty-result.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Statement} from './statement.ts';
import type {StatementOutcome} from './statement-outcome.ts';

type Options = {
	readonly setup: SessionSetup;
	/** The session's share of the bytes that values and prepared statements of all sessions may take. */
	readonly share: BudgetShare;
};

/** Largest number of session variables, and of prepared statements, per session. */
const maxSetupEntries = 200;

/** Bytes that an entry takes besides its texts; a guess that is rather too large. */
const entryBytes = 200;

/** Milliseconds after which a caller may try again, when all sessions together have taken what there is. */
const retryAfterMs = 1000;

/**
 * Applies a statement that changes only the session's setup: `set`, `prepare` or `close`.
 *
 * A connection receives the setup when the next query of the session runs on it. A statement that fails has changed
 * nothing: the session keeps its earlier values.
 *
 * @returns Undefined for any other kind of statement.
 */
export function applySetupStatement(statement: Statement, {setup, share}: Options): StatementOutcome | undefined {
	const {variables, prepared} = setup;
	switch (statement.kind) {
		case 'set': {
			const {name, value} = statement;
			const newBytes = countBytes(name, value);
			const failure = takeBytes(newBytes - countBytes(name, variables.get(name)), {isNew: !variables.has(name), count: variables.size, share});
			if (failure === undefined) {
				variables.set(copyText(name), copyText(value));
			}

			return failure ?? emptyResult;
		}

		case 'prepare': {
			const {name, prepared: {access, shape}} = statement;
			const newBytes = countBytes(name, shape);
			const failure = takeBytes(newBytes - countBytes(name, prepared.get(name)?.shape), {isNew: !prepared.has(name), count: prepared.size, share});
			if (failure === undefined) {
				prepared.set(copyText(name), {access, shape: copyText(shape)});
			}

			return failure ?? emptyResult;
		}

		case 'close': {
			const {name} = statement;
			share.change(-countBytes(name, prepared.get(name)?.shape));
			prepared.delete(name);
			return emptyResult;
		}

		default: {
			return undefined;
		}
	}
}

/** Counts the bytes of an entry; 0 if there is none. A character of a message is one byte. */
function countBytes(name: string, text: string | undefined): number {
	return text === undefined ? 0 : name.length + text.length + entryBytes;
}

/** Takes the bytes by which an entry grows; returns a failure, and takes none, if there are too many bytes or entries. */
function takeBytes(bytes: number, {isNew, count, share}: {readonly isNew: boolean; readonly count: number; readonly share: BudgetShare}): StatementOutcome | undefined {
	if (isNew && count >= maxSetupEntries) {
		return createFailure('malformed', `A session holds ${maxSetupEntries} values and prepared statements at most`);
	}

	switch (share.change(bytes)) {
		case 'taken': {
			return undefined;
		}

		case 'tooMuch': {
			return createFailure('tooBig', 'The values and prepared statements of the session would take too much memory');
		}

		case 'exhausted': {
			return createBusyFailure('The values of all sessions take the memory that there is for them', retryAfterMs);
		}
	}
}

/** Copies a text, since a part of a text keeps the memory of the whole piece that was read in use. */
function copyText(text: string): string {
	return Buffer.from(text, 'latin1').toString('latin1');
}
