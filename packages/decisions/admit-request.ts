import {createRefusal} from './create-refusal.ts';
import {findFreshness} from './find-freshness.ts';
import {findWorkspace} from './find-workspace.ts';
import {hasForbiddenStatement} from './has-forbidden-statement.ts';
import {parseFreshness} from './parse-freshness.ts';
import {resultCodes} from './result-codes.ts';
import type {Admission} from './admission.ts';
import type {AdmittedRequest} from './admitted-request.ts';
import type {Configuration} from './configuration.ts';
import type {Freshness} from './freshness.ts';
import type {LogPoint} from './log-point.ts';
import type {Request} from './request.ts';
import type {ResultCode} from './result-code.ts';
import type {SessionClaim} from './session-claim.ts';

type AdmissionContext = {
	readonly configuration: Configuration;
	/** Monotonic milliseconds at which the configuration was last proven to be the newest. */
	readonly confirmedAt: number;
	/** Milliseconds for which that proof allows keyed requests. */
	readonly staleAfter: number;
	readonly databases: ReadonlySet<string>;
	readonly isDraining: boolean;
	/** Milliseconds that a caller waits who names no deadline. */
	readonly defaultTimeout: number;
	readonly maxTimeout: number;
	/** Reads a session token; undefined when it is not one of this fleet's. */
	readonly readSession: (token: string) => SessionClaim | undefined;
	readonly now: number;
};

/** Milliseconds after which a caller may try again where the reason should pass soon. */
const shortRetry = 500;

/** Statements that one transaction may have. */
const statementLimit = 1000;

/** Characters of an idempotency key or a request id. */
const identifierLimit = 200;

/** Ends admission with a refusal; caught in {@link admitRequest}. */
class Refusal extends Error {
	constructor(
		readonly code: ResultCode,
		readonly reason: string,
		readonly retryAfter = 0,
	) {
		super(reason);
	}
}

/**
 * Decides whether a request may run, for which workspace, and with which freshness.
 *
 * @param request The request as it came.
 * @param context The configuration in force, what proves it, and monotonic milliseconds.
 * @returns The admitted request without its key, or a "not run" answer with the reason.
 */
export function admitRequest(request: Request, context: AdmissionContext): Admission {
	try {
		return {kind: 'admitted', request: createAdmitted(request, context)};
	} catch (error) {
		if (error instanceof Refusal) {
			return {kind: 'refused', answer: createRefusal(error.code, error)};
		}

		throw error;
	}
}

function createAdmitted(request: Request, context: AdmissionContext): AdmittedRequest {
	if (context.isDraining) {
		throw new Refusal(resultCodes.draining, 'the host is shutting down; another host takes the request', 1);
	}

	const base = {
		requestId: request.requestId,
		arrivedAt: context.now,
		deadline: context.now + choosePatience(request, context),
	};
	return request.route === ''
		? {...base, ...admitKeyed(request, context)}
		: {...base, ...admitRoute(request, context)};
}

type Work = Omit<AdmittedRequest, 'arrivedAt' | 'deadline' | 'requestId'>;

function choosePatience(request: Request, context: AdmissionContext): number {
	if (request.timeout > context.maxTimeout) {
		throw new Refusal(
			resultCodes.deadlineExpired,
			`the deadline of ${request.timeout} ms is longer than the ${context.maxTimeout} ms allowed`,
		);
	}

	return request.timeout === 0 ? context.defaultTimeout : request.timeout;
}

/** Admits an open route: a statement that an operator wrote, paid for by a workspace that an operator named. */
function admitRoute(request: Request, context: AdmissionContext): Work {
	const route = context.configuration.routes[request.route];
	if (route === undefined) {
		throw new Refusal(resultCodes.unknownRoute, `the route "${request.route}" does not exist`);
	}

	if (request.statements.length > 0 || request.database !== '') {
		throw new Refusal(resultCodes.malformed, 'a request on an open route names neither a database nor statements');
	}

	return {
		workspace: route.workspace,
		database: route.database,
		statements: [{sql: route.sql, parameters: []}],
		work: {kind: 'read', freshness: route.freshness, point: undefined},
		cost: context.configuration.costs[route.freshness.kind],
	};
}

function admitKeyed(request: Request, context: AdmissionContext): Work {
	const workspace = authenticate(request, context);
	checkShape(request);
	if (!context.databases.has(request.database)) {
		throw new Refusal(resultCodes.unknownDatabase, `the database "${request.database}" does not exist`);
	}

	if (context.configuration.workspaces[workspace]?.databases.includes(request.database) !== true) {
		throw new Refusal(
			resultCodes.databaseNotAllowed,
			`the workspace "${workspace}" may not use the database "${request.database}"`,
		);
	}

	const work = admitWork(request, {context, workspace});
	const {costs} = context.configuration;
	return {
		workspace,
		database: request.database,
		statements: request.statements,
		work,
		cost: work.kind === 'write' ? costs.write : costs[work.freshness.kind],
	};
}

function authenticate(request: Request, context: AdmissionContext): string {
	if (request.keyDigest === '') {
		throw new Refusal(resultCodes.keyMissing, 'the request has no key in its Authorization header');
	}

	if (context.now - context.confirmedAt > context.staleAfter) {
		throw new Refusal(
			resultCodes.configurationStale,
			'the host cannot prove that the key is still valid',
			shortRetry,
		);
	}

	const workspace = findWorkspace(context.configuration, request.keyDigest);
	if (workspace === undefined) {
		throw new Refusal(resultCodes.keyUnknown, 'the key was withdrawn or never given');
	}

	return workspace;
}

function checkShape(request: Request): void {
	const {statements, kind} = request;
	if (statements.length === 0 || statements.some(({sql}) => sql.trim() === '')) {
		throw new Refusal(resultCodes.malformed, 'the request has no statement or an empty one');
	}

	if (statements.length > statementLimit) {
		throw new Refusal(resultCodes.tooLarge, `${statements.length} statements are more than the ${statementLimit} allowed`);
	}

	const identifiers = [request.requestId, kind.kind === 'write' ? kind.idempotencyKey : ''];
	if (identifiers.some(({length}) => length > identifierLimit)) {
		throw new Refusal(resultCodes.tooLarge, `an identifier is longer than the ${identifierLimit} characters allowed`);
	}

	if (hasForbiddenStatement(statements)) {
		throw new Refusal(
			resultCodes.malformed,
			'transaction and connection commands and tables named sapphirefall_ are not for callers',
		);
	}
}

function admitWork(
	request: Request,
	options: {readonly context: AdmissionContext; readonly workspace: string},
): AdmittedRequest['work'] {
	const {kind} = request;
	if (kind.kind === 'read') {
		const point = readPoint(request, options);
		return {kind: 'read', freshness: chooseFreshness(kind, options), point};
	}

	if (kind.idempotencyKey === '' && !kind.isRepeatable) {
		throw new Refusal(
			resultCodes.idempotencyKeyMissing,
			'a write that is not repeatable needs an idempotency key',
		);
	}

	return {kind: 'write', idempotencyKey: kind.idempotencyKey};
}

function chooseFreshness(
	kind: Extract<Request['kind'], {readonly kind: 'read'}>,
	options: {readonly context: AdmissionContext; readonly workspace: string},
): Freshness {
	const {configuration} = options.context;
	const freshness = kind.freshness === ''
		? findFreshness(configuration, {workspace: options.workspace, kind: kind.readKind})
		: parseFreshness(kind.freshness);
	if (freshness === undefined) {
		const name = kind.freshness === '' ? `kind of read "${kind.readKind}"` : `freshness "${kind.freshness}"`;
		throw new Refusal(
			resultCodes.unknownFreshness,
			`the ${name} is unknown; allowed are latest, session, within <age> and the configured kinds`,
		);
	}

	return freshness;
}

function readPoint(
	request: Request,
	options: {readonly context: AdmissionContext; readonly workspace: string},
): LogPoint | undefined {
	if (request.session === '') {
		return undefined;
	}

	const claim = options.context.readSession(request.session);
	if (claim === undefined) {
		throw new Refusal(resultCodes.sessionInvalid, 'the session token is not one of this fleet');
	}

	if (claim.workspace !== options.workspace) {
		throw new Refusal(resultCodes.sessionForeign, 'the session token belongs to another workspace');
	}

	return claim.database === request.database ? claim.point : undefined;
}
