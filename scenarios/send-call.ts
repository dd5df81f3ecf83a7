import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import type {Answered} from './answered.ts';
import type {Stage} from './stage.ts';
import type {Step} from './step.ts';

type Call = NonNullable<Step['call']>;

/** Sends a caller's request once, and keeps the session token that comes back. */
export async function sendCall(stage: Stage, call: Call): Promise<Answered> {
	const sentAt = performance.now();
	const response = await stage.cluster.caller(call.host, call.key ?? '').execute({
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

function createKind(call: Call) {
	return call.write === true
		? {case: 'write' as const, value: {idempotencyKey: call.idempotencyKey ?? '', repeatable: call.repeatable ?? false}}
		: {case: 'read' as const, value: {freshness: call.read ?? '', kind: call.readKind ?? ''}};
}
