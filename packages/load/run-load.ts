import {setTimeout as sleep} from 'node:timers/promises';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
	CallerService, createTokenInterceptor, decodeResult, encodeStatement, type ExecuteResponse,
} from '@sapphirefall/wire';
import {createLoadCall} from './_create-load-call.ts';
import {createLoadDatabases} from './_create-load-databases.ts';
import type {LoadCaller} from './_load-caller.ts';
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
	const databases = createLoadDatabases(plan, clients);
	await databases.createTables();

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
	return {outcomes, rows: await databases.readRows()};
}

function createCaller(baseUrl: string, key: string): LoadCaller {
	return createClient(CallerService, createConnectTransport({
		baseUrl, httpVersion: '1.1', interceptors: [createTokenInterceptor(key)],
	}));
}

async function sendRequest(
	plan: LoadPlan,
	options: {readonly request: ScheduledRequest; readonly session: Session; readonly client: LoadCaller; readonly elapsed: () => number},
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
	const {database, statement, kind} = createLoadCall(plan, {request, write});
	try {
		const response = await client.execute({
			requestId: request.id,
			database,
			statements: [encodeStatement(statement)],
			kind,
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
