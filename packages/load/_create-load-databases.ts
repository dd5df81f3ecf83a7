import {setTimeout as sleep} from 'node:timers/promises';
import type {SqlStatement} from '@sapphirefall/decisions';
import {decodeResult, encodeStatement, type ExecuteResponse} from '@sapphirefall/wire';
import type {LoadCaller} from './_load-caller.ts';
import type {LoadHistory} from './load-history.ts';
import type {LoadPlan} from './load-plan.ts';

/** The databases of a load, before and after its requests. */
type LoadDatabases = {
	/** Creates the table of the load in each database. */
	readonly createTables: () => Promise<void>;
	/** Reads how many rows each write has left. */
	readonly readRows: () => Promise<LoadHistory['rows']>;
};

/** Milliseconds for which creating the table or reading the rows of a database is retried. */
const retryTimeoutMs = 15_000;

const createTable: SqlStatement = {
	sql: 'CREATE TABLE IF NOT EXISTS load_row (id TEXT NOT NULL, workspace TEXT NOT NULL, session INTEGER NOT NULL, write INTEGER NOT NULL)',
	parameters: [],
};

/**
 * Creates the access to the databases of a load.
 *
 * @param plan The plan.
 * @param callers Callers of each target, by workspace.
 * @returns Calls that throw when no target answers them in time.
 */
export function createLoadDatabases(plan: LoadPlan, callers: ReadonlyMap<string, readonly LoadCaller[]>): LoadDatabases {
	return {
		async createTables() {
			for (const {name, database} of listDatabaseWorkspaces(plan)) {
				// eslint-disable-next-line no-await-in-loop -- one database after another
				await executeUntilDone(callers.get(name) ?? [], {
					database,
					statements: [encodeStatement(createTable)],
					kind: {case: 'write', value: {idempotencyKey: '', repeatable: true}},
				});
			}
		},
		async readRows() {
			const rows = new Map<string, number>();
			for (const {name, database} of listDatabaseWorkspaces(plan)) {
				// eslint-disable-next-line no-await-in-loop -- one database after another
				const response = await executeUntilDone(callers.get(name) ?? [], {
					database,
					statements: [encodeStatement({
						sql: 'SELECT id, count(*) FROM load_row WHERE id LIKE ? GROUP BY id', parameters: [`${plan.seed}-%`],
					})],
					kind: {case: 'read', value: {freshness: 'latest', kind: ''}},
				});
				const [result] = response.answer.case === 'done' ? response.answer.value.results : [];
				for (const [id, count] of result === undefined ? [] : decodeResult(result).rows) {
					rows.set(String(id), Number(count));
				}
			}

			return rows;
		},
	};
}

/** Lists one workspace for each database, whose key is used to create the table and to read the rows. */
function listDatabaseWorkspaces(plan: LoadPlan): ReadonlyArray<LoadPlan['workspaces'][number]> {
	return [...new Map(plan.workspaces.map(workspace => [workspace.database, workspace])).values()];
}

/** Sends a request to one target after another until one answers `done`. */
async function executeUntilDone(
	callers: readonly LoadCaller[],
	request: Parameters<LoadCaller['execute']>[0],
): Promise<ExecuteResponse> {
	const deadline = performance.now() + retryTimeoutMs;
	for (let attempt = 0; performance.now() < deadline; attempt++) {
		try {
			const response = await callers[attempt % callers.length]?.execute(request); // eslint-disable-line no-await-in-loop
			if (response?.answer.case === 'done') {
				return response;
			}
		} catch {
			// Retries at the next target, which may be reachable.
		}

		await sleep(50); // eslint-disable-line no-await-in-loop
	}

	throw new Error('No target prepared or read the database of the load in time');
}
