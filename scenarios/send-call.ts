import type {CallerStream} from '../stand-ins/cluster/caller-stream.ts';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {findHost} from './find-host.ts';
import type {TimedResponse} from './timed-response.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';

type Call = NonNullable<Step['call']>;

/** Sends a caller's request once and stores the session token of the answer. */
export async function sendCall(context: ScenarioContext, call: Call): Promise<TimedResponse> {
	const sentAt = performance.now();
	const response = await findCaller(context, call).execute({
		requestId: call.background ?? '',
		database: call.route === undefined ? call.database ?? context.scenario.cluster.databases[0] ?? '' : '',
		route: call.route ?? '',
		statements: call.statements.map(statement => typeof statement === 'string'
			? createStatement(statement)
			: createStatement(statement.sql, statement.parameters)),
		kind: createKind(call),
		session: call.token ?? context.sessions.get(call.session ?? '') ?? '',
		deadlineMs: call.deadline ?? 0,
	});
	if (call.session !== undefined && response.answer.case === 'done' && response.answer.value.session !== '') {
		context.sessions.set(call.session, response.answer.value.session);
	}

	return {response, elapsedMs: performance.now() - sentAt};
}

/** Returns the stream to send a call on, opened if needed, or a client for unary calls. */
function findCaller(context: ScenarioContext, {host: name, key = '', stream}: Call): Pick<CallerStream, 'execute'> {
	const {cluster, streams} = context;
	const host = findHost(context, name);
	if (!stream) {
		return cluster.caller(host, key);
	}

	const pair = `${host} ${key}`;
	const open = streams.get(pair) ?? cluster.openStream(host, key);
	streams.set(pair, open);
	return open;
}

function createKind(call: Call) {
	return call.write === true
		? {case: 'write' as const, value: {idempotencyKey: call.idempotencyKey ?? '', repeatable: call.repeatable ?? false}}
		: {case: 'read' as const, value: {freshness: call.read ?? '', kind: call.readKind ?? ''}};
}
