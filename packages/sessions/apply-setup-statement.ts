import {createFailure} from './create-failure.ts';
import {emptyResult} from './empty-result.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Statement} from './statement.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** Largest number of session variables, and of prepared statements, per session; bounds the memory that one session uses. */
const maxSetupEntries = 200;

/**
 * Applies a statement that changes only the session's setup: `set`, `prepare` or `close`.
 *
 * A connection receives the setup when the next query of the session runs on it.
 *
 * @returns Undefined for any other kind of statement.
 */
export function applySetupStatement(statement: Statement, setup: SessionSetup): StatementOutcome | undefined {
	switch (statement.kind) {
		case 'set': {
			setup.variables.set(statement.name, statement.value);
			break;
		}

		case 'prepare': {
			setup.prepared.set(statement.name, statement.prepared);
			break;
		}

		case 'close': {
			setup.prepared.delete(statement.name);
			break;
		}

		default: {
			return undefined;
		}
	}

	return setup.variables.size > maxSetupEntries || setup.prepared.size > maxSetupEntries
		? createFailure('malformed', `A session holds ${maxSetupEntries} values and prepared statements at most`)
		: emptyResult;
}
