import type {SqlStatement} from './sql-statement.ts';

/** Matches white space, semicolons and comments before the first word of a statement. */
const leadingComments = /^(?:\s|;|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/)*/v;
/** Matches commands that control the transaction or change the connection's state. */
const controlCommand = /^(?:begin|start|commit|end|rollback|abort|savepoint|release|pragma|attach|detach|vacuum|set)\b/iv;
/** Matches the prefix of the tables that the proxy keeps in the endpoint's database. */
const reservedTable = /sapphirefall_/iv;

/**
 * Returns whether a statement controls transactions, changes the connection's state or names the proxy's tables.
 *
 * Such a statement would leak state into the next request on the connection, or separate the request's writes from
 * its idempotency record.
 */
export function hasForbiddenStatement(statements: readonly SqlStatement[]): boolean {
	return statements.some(({sql}) => controlCommand.test(sql.replace(leadingComments, '')) || reservedTable.test(sql));
}
