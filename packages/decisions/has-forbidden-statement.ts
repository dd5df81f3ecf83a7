import type {SqlStatement} from './sql-statement.ts';

const leadingComments = /^(?:\s|;|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/)*/v;
const sessionCommand = /^(?:begin|start|commit|end|rollback|abort|savepoint|release|pragma|attach|detach|vacuum|set)\b/iv;
const ownTable = /sapphirefall_/iv;

/**
 * Tells whether a statement would end the transaction around it, change the connection, or touch the proxy's tables.
 *
 * Such a statement would leak state into the next request on the connection or part the work from its
 * idempotency record.
 */
export function hasForbiddenStatement(statements: readonly SqlStatement[]): boolean {
	return statements.some(({sql}) => sessionCommand.test(sql.replace(leadingComments, '')) || ownTable.test(sql));
}
