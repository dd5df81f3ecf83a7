import {createFailure} from './create-failure.ts';
import {emptyResult} from './empty-result.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Statement} from './statement.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** Values and prepared statements that a session may hold, so that one session cannot fill the host. */
const setupLimit = 200;

/**
 * Applies a statement that only sets the session up; connections are brought to it when work runs there.
 *
 * @returns Undefined for any other statement.
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

	return setup.variables.size > setupLimit || setup.prepared.size > setupLimit
		? createFailure('malformed', `A session holds ${setupLimit} values and prepared statements at most`)
		: emptyResult;
}
