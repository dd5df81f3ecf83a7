import type {SessionSetup} from './session-setup.ts';
import type {Query} from './query.ts';
import type {StatementRequest} from './statement-request.ts';

/**
 * Creates the query of a read, a write, or the execution of a prepared statement.
 *
 * @returns Undefined for any other statement, and for a name that was not prepared.
 */
export function createQuery({statement, id, text}: StatementRequest, setup: SessionSetup): Query | undefined {
	if (statement.kind === 'execute') {
		const access = setup.prepared.get(statement.name)?.access;
		return access && {
			id, text, access, execute: {name: statement.name, parameters: statement.parameters},
		};
	}

	return statement.kind === 'read' || statement.kind === 'write'
		? {
			id, text, access: statement.kind, execute: undefined,
		}
		: undefined;
}
