import type {SqlStatement} from '@sapphirefall/decisions';
import type {LoadPlan} from './load-plan.ts';
import type {ScheduledRequest} from './scheduled-request.ts';

type Options = {
	readonly request: ScheduledRequest;
	/** Sequence number of a write within its session, from 1. */
	readonly write: number;
};

/** What a request of a load asks a host for. */
type LoadCall = {
	readonly database: string;
	readonly statement: SqlStatement;
	readonly kind:
		| {readonly case: 'write'; readonly value: {readonly idempotencyKey: string; readonly repeatable: boolean}}
		| {readonly case: 'read'; readonly value: {readonly freshness: string; readonly kind: string}};
};

/** Creates the call of a scheduled request: a write inserts a row, and a read finds the last write of its session and counts the rows of its workspace. */
export function createLoadCall(plan: LoadPlan, {request, write}: Options): LoadCall {
	const {database = '', age = 0} = plan.workspaces.find(({name}) => name === request.workspace) ?? {};
	if (request.class === 'write') {
		return {
			database, statement: createInsert(request, write), kind: {case: 'write', value: {idempotencyKey: `load-${request.id}`, repeatable: false}},
		};
	}

	const freshness = request.class === 'within' ? `within ${age}ms` : request.class;
	return {database, statement: createSelect(plan, request), kind: {case: 'read', value: {freshness, kind: ''}}};
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
