import initSqlJs, {type BindParams, type Database} from 'sql.js';
import type {SqlResult, SqlStatement, SqlValue} from '@sapphirefall/decisions';
import type {Engine} from './_engine.ts';

/** Method of a prepared statement that the type declarations of sql.js omit. */
type BigIntRows = {
	readonly get: (parameters: null, config: {readonly useBigInt: boolean}) => SqlValue[];
};

const sqlJs = await initSqlJs();

/** Creates an engine with an empty in-memory SQLite database. */
export function createEngine(): Engine {
	let database = new sqlJs.Database();
	return {
		run: statement => runStatement(database, statement),
		reset() {
			database.close();
			database = new sqlJs.Database();
		},
	};
}

function runStatement(database: Database, statement: SqlStatement): SqlResult {
	const prepared = database.prepare(statement.sql);
	try {
		const changesBefore = countChanges(database);
		prepared.bind(statement.parameters.map(value => bindValue(value)) as BindParams);
		const rows: SqlValue[][] = [];
		while (prepared.step()) {
			rows.push((prepared as unknown as BigIntRows).get(null, {useBigInt: true}));
		}

		return {columns: prepared.getColumnNames(), rows, changes: countChanges(database) - changesBefore};
	} finally {
		prepared.free();
	}
}

function bindValue(value: SqlValue): SqlValue {
	return typeof value === 'bigint' && Number.isSafeInteger(Number(value)) ? Number(value) : value;
}

function countChanges(database: Database): number {
	return Number(database.exec('SELECT total_changes()')[0]?.values[0]?.[0] ?? 0);
}
