import type {CallerStream} from '../stand-ins/cluster/caller-stream.ts';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {findHost} from './find-host.ts';
import type {Answered} from './answered.ts';
import type {Stage} from './stage.ts';
import type {Step} from './step.ts';

type Call = NonNullable<Step['call']>;

/** Sends a caller's request once, and keeps the session token that comes back. */
export async function sendCall(stage: Stage, call: Call): Promise<Answered> {
	const sentAt = performance.now();
	const response = await findCaller(stage, call).execute({
		requestId: call.background ?? '',
		database: call.route === undefined ? call.database ?? stage.scenario.cluster.databases[0] ?? '' : '',
		route: call.route ?? '',
		statements: call.statements.map(statement => typeof statement === 'string'
			? createStatement(statement)
			: createStatement(statement.sql, statement.parameters)),
		kind: createKind(call),
		session: call.token ?? stage.sessions.get(call.session ?? '') ?? '',
		deadlineMs: call.deadline ?? 0,
	});
	if (call.session !== undefined && response.answer.case === 'done' && response.answer.value.session !== '') {
		stage.sessions.set(call.session, response.answer.value.session);
	}

	return {response, elapsed: performance.now() - sentAt};
}

/** Finds the open stream of a call that uses one, and else a client. */
function findCaller(stage: Stage, {host: name, key = '', stream}: Call): Pick<CallerStream, 'execute'> {
	const {cluster, streams} = stage;
	const host = findHost(stage, name);
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
