import {setTimeout as sleep} from 'node:timers/promises';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
	CallerService, createTokenInterceptor, decodeResult, encodeStatement, type ExecuteResponse,
} from '@sapphirefall/wire';
import type {SqlStatement} from '@sapphirefall/decisions';
import {createSchedule} from './create-schedule.ts';
import type {LoadHistory} from './load-history.ts';
import type {LoadPlan} from './load-plan.ts';
import type {RequestOutcome} from './request-outcome.ts';
import type {ScheduledRequest} from './scheduled-request.ts';

type Options = {
	/** Returns the present time in monotonic milliseconds. */
	readonly now: () => number;
	/** Called about once a second, and at the end, with the number of requests sent and answered. */
	readonly onProgress: (sent: number, answered: number) => void;
};

/** State of a session of the load. */
type Session = {
	/** Session token from the answer to the acknowledged write with the highest number. */
	token: string;
	/** Number of writes sent. */
	sentWrites: number;
	/** Highest number of an acknowledged write. */
	lastAcknowledgedWrite: number;
};

/** Milliseconds between two progress reports. */
const progressIntervalMs = 1000;

/** Milliseconds for which creating the table or reading the rows of a database is retried. */
const retryTimeoutMs = 15_000;

const createTable: SqlStatement = {
	sql: 'CREATE TABLE IF NOT EXISTS load_row (id TEXT NOT NULL, workspace TEXT NOT NULL, session INTEGER NOT NULL, write INTEGER NOT NULL)',
	parameters: [],
};

/**
 * Runs a load: sends each request at its scheduled time, records the outcomes, then reads the rows from the databases.
 *
 * @param plan The plan.
 * @param options The clock, and the callback for progress.
 * @throws {Error} When the databases cannot be prepared or read afterwards.
 */
export async function runLoad(plan: LoadPlan, options: Options): Promise<LoadHistory> {
	const clients = new Map(plan.workspaces.map(({name, key}) => [name, plan.targets.map(target => createCaller(target, key))]));
	const sessions = new Map<string, Session>();
	await prepareDatabases(plan, clients);

	const startedAt = options.now();
	const elapsed = () => options.now() - startedAt;
	const outcomes: RequestOutcome[] = [];
	const running: Array<Promise<void>> = [];
	let reportedAt = 0;

	const runRequest = async (request: ScheduledRequest) => {
		const client = clients.get(request.workspace)?.[request.targetIndex];
		const name = `${request.workspace}/${request.session}`;
		const session = sessions.get(name) ?? {token: '', sentWrites: 0, lastAcknowledgedWrite: 0};
		sessions.set(name, session);
		if (client !== undefined) {
			outcomes.push(await sendRequest(plan, {
				request, session, client, elapsed,
			}));
		}
	};

	for (const request of createSchedule(plan)) {
		const pause = request.scheduledAt - elapsed();
		if (pause > 0) {
			await sleep(pause); // eslint-disable-line no-await-in-loop -- requests are sent at their scheduled times
		}

		running.push(runRequest(request));
		if (elapsed() - reportedAt >= progressIntervalMs) {
			reportedAt = elapsed();
			options.onProgress(running.length, outcomes.length);
		}
	}

	await Promise.all(running);
	options.onProgress(running.length, outcomes.length);
	return {outcomes, rows: await readRows(plan, {clients, seed: plan.seed})};
}

type Caller = Client<typeof CallerService>;

function createCaller(baseUrl: string, key: string): Caller {
	return createClient(CallerService, createConnectTransport({
		baseUrl, httpVersion: '1.1', interceptors: [createTokenInterceptor(key)],
	}));
}

async function sendRequest(
	plan: LoadPlan,
	options: {readonly request: ScheduledRequest; readonly session: Session; readonly client: Caller; readonly elapsed: () => number},
): Promise<RequestOutcome> {
	const {request, session, client, elapsed} = options;
	const isWrite = request.class === 'write';
	const sentAt = elapsed();
	const {lastAcknowledgedWrite} = session;
	if (isWrite) {
		session.sentWrites++;
	}

	const write = isWrite ? session.sentWrites : 0;
	const base = {
		request, sentAt, lastAcknowledgedWrite, writeNumber: write,
	};
	try {
		const response = await client.execute({
			requestId: request.id,
			database: plan.workspaces.find(({name}) => name === request.workspace)?.database ?? '',
			statements: [encodeStatement(isWrite ? createInsert(request, write) : createSelect(plan, request))],
			kind: createRequestKind(plan, request),
			session: session.token,
			deadlineMs: plan.deadline,
		});
		recordAnswer(response, {session, write});
		return {...base, answeredAt: elapsed(), ...decodeOutcome(response, request)};
	} catch {
		return {
			...base, answeredAt: elapsed(), kind: 'failed', code: -1, instance: '', observed: undefined,
		};
	}
}

function recordAnswer(response: ExecuteResponse, {session, write}: {readonly session: Session; readonly write: number}): void {
	if (response.answer.case !== 'done' || write === 0) {
		return;
	}

	if (write > session.lastAcknowledgedWrite) {
		session.lastAcknowledgedWrite = write;
		session.token = response.answer.value.session;
	}
}

function createInsert(request: ScheduledRequest, write: number): SqlStatement {
	return {
		sql: 'INSERT INTO load_row (id, workspace, session, write) VALUES (?, ?, ?, ?)',
		parameters: [request.id, request.workspace, request.session, write],
	};
}

function createSelect(plan: LoadPlan, request: ScheduledRequest): SqlStatement {
	const idPattern = `${plan.seed}-%`;
	return {
		sql: 'SELECT ?, (SELECT coalesce(max(write), 0) FROM load_row WHERE id LIKE ? AND workspace = ? AND session = ?), '
			+ '(SELECT count(*) FROM load_row WHERE id LIKE ? AND workspace = ?)',
		parameters: [request.id, idPattern, request.workspace, request.session, idPattern, request.workspace],
	};
}

function createRequestKind(plan: LoadPlan, request: ScheduledRequest) {
	if (request.class === 'write') {
		return {case: 'write' as const, value: {idempotencyKey: `load-${request.id}`, repeatable: false}};
	}

	const age = plan.workspaces.find(({name}) => name === request.workspace)?.age ?? 0;
	const freshness = request.class === 'within' ? `within ${age}ms` : request.class;
	return {case: 'read' as const, value: {freshness, kind: ''}};
}

function decodeOutcome(
	{answer}: ExecuteResponse,
	request: ScheduledRequest,
): Pick<RequestOutcome, 'kind' | 'code' | 'instance' | 'observed'> {
	if (answer.case !== 'done') {
		return {
			kind: answer.case ?? 'failed', code: answer.value?.code ?? -1, instance: '', observed: undefined,
		};
	}

	const [result] = answer.value.results;
	const [id, write, rows] = result === undefined ? [] : decodeResult(result).rows[0] ?? [];
	return {
		kind: 'done',
		code: answer.value.code,
		instance: answer.value.instance,
		observed: request.class === 'write' ? undefined : {id: String(id), lastWrite: Number(write), rows: Number(rows)},
	};
}

type Clients = ReadonlyMap<string, readonly Caller[]>;

/** Lists one workspace for each database, whose key is used to create the table and to read the rows. */
function listDatabaseWorkspaces(plan: LoadPlan): ReadonlyArray<LoadPlan['workspaces'][number]> {
	return [...new Map(plan.workspaces.map(workspace => [workspace.database, workspace])).values()];
}

async function prepareDatabases(plan: LoadPlan, clients: Clients): Promise<void> {
	for (const {name, database} of listDatabaseWorkspaces(plan)) {
		// eslint-disable-next-line no-await-in-loop -- one database after another
		await executeUntilDone(clients.get(name) ?? [], {
			database,
			statements: [encodeStatement(createTable)],
			kind: {case: 'write', value: {idempotencyKey: '', repeatable: true}},
		});
	}
}

async function readRows(
	plan: LoadPlan,
	{clients, seed}: {readonly clients: Clients; readonly seed: number},
): Promise<ReadonlyMap<string, number>> {
	const rows = new Map<string, number>();
	for (const {name, database} of listDatabaseWorkspaces(plan)) {
		// eslint-disable-next-line no-await-in-loop -- one database after another
		const response = await executeUntilDone(clients.get(name) ?? [], {
			database,
			statements: [encodeStatement({
				sql: 'SELECT id, count(*) FROM load_row WHERE id LIKE ? GROUP BY id', parameters: [`${seed}-%`],
			})],
			kind: {case: 'read', value: {freshness: 'latest', kind: ''}},
		});
		const [result] = response.answer.case === 'done' ? response.answer.value.results : [];
		for (const [id, count] of result === undefined ? [] : decodeResult(result).rows) {
			rows.set(String(id), Number(count));
		}
	}

	return rows;
}

/** Sends a request to one target after another until one answers `done`. */
async function executeUntilDone(
	callers: readonly Caller[],
	request: Parameters<Caller['execute']>[0],
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
