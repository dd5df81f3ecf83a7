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
	/** Monotonic milliseconds at which the configuration was last confirmed to be the newest. */
	readonly confirmedAt: number;
	/** Milliseconds since the last confirmation after which the host refuses requests with a key. */
	readonly staleAfter: number;
	readonly databases: ReadonlySet<string>;
	readonly isDraining: boolean;
	/** Timeout in milliseconds of a request that names none. */
	readonly defaultTimeout: number;
	/** Longest timeout in milliseconds that a request may name. */
	readonly maxTimeout: number;
	/** Reads a session token; `undefined` when the token is invalid or another fleet issued it. */
	readonly readSession: (token: string) => SessionClaim | undefined;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/** Delay that the caller is told to wait before a retry when the cause of the refusal should pass soon. */
const transientRetryMs = 500;

/** Most statements in one request, which run as one transaction. */
const maxStatements = 1000;

/** Most characters of an idempotency key or a request identifier. */
const maxIdentifierLength = 200;

/** Ends admission with a refusal. {@link admitRequest} catches it and returns the refusal as an answer. */
class RefusalError extends Error {
	constructor(
		readonly code: ResultCode,
		readonly reason: string,
		readonly retryAfter = 0,
	) {
		super(reason);
	}
}

/**
 * Decides whether a request may run, on behalf of which workspace, and with which freshness.
 *
 * @param request The request as received.
 * @param context The configuration in force, when it was last confirmed, the host's limits, and the present time.
 * @returns The admitted request without its key, or a "not run" answer with the reason.
 */
export function admitRequest(request: Request, context: AdmissionContext): Admission {
	try {
		return {kind: 'admitted', request: createAdmitted(request, context)};
	} catch (error) {
		if (error instanceof RefusalError) {
			return {kind: 'refused', answer: createRefusal(error.code, error)};
		}

		throw error;
	}
}

function createAdmitted(request: Request, context: AdmissionContext): AdmittedRequest {
	if (context.isDraining) {
		throw new RefusalError(resultCodes.draining, 'the host is shutting down; another host takes the request', 1);
	}

	const base = {
		requestId: request.requestId,
		arrivedAt: context.now,
		deadline: context.now + chooseTimeout(request, context),
	};
	return request.route === ''
		? {...base, ...admitKeyedRequest(request, context)}
		: {...base, ...admitOpenRoute(request, context)};
}

type RequestContent = Omit<AdmittedRequest, 'arrivedAt' | 'deadline' | 'requestId'>;

function chooseTimeout(request: Request, context: AdmissionContext): number {
	if (request.timeout > context.maxTimeout) {
		throw new RefusalError(
			resultCodes.deadlineExpired,
			`the deadline of ${request.timeout} ms is longer than the ${context.maxTimeout} ms allowed`,
		);
	}

	return request.timeout === 0 ? context.defaultTimeout : request.timeout;
}

/**
 * Admits a request on an open route, which needs no key.
 *
 * An operator wrote the route's statement and chose the workspace that is charged for it.
 */
function admitOpenRoute(request: Request, context: AdmissionContext): RequestContent {
	const route = context.configuration.routes.get(request.route);
	if (route === undefined) {
		throw new RefusalError(resultCodes.unknownRoute, `the route "${request.route}" does not exist`);
	}

	if (request.statements.length > 0 || request.database !== '') {
		throw new RefusalError(resultCodes.malformed, 'a request on an open route names neither a database nor statements');
	}

	return {
		workspace: route.workspace,
		database: route.database,
		statements: [{sql: route.sql, parameters: []}],
		work: {kind: 'read', freshness: route.freshness, point: undefined},
		cost: context.configuration.costs[route.freshness.kind],
	};
}

function admitKeyedRequest(request: Request, context: AdmissionContext): RequestContent {
	const workspace = authenticate(request, context);
	validateRequest(request);
	if (!context.databases.has(request.database)) {
		throw new RefusalError(resultCodes.unknownDatabase, `the database "${request.database}" does not exist`);
	}

	if (context.configuration.workspaces.get(workspace)?.databases.includes(request.database) !== true) {
		throw new RefusalError(
			resultCodes.databaseNotAllowed,
			`the workspace "${workspace}" may not use the database "${request.database}"`,
		);
	}

	const work = createWork(request, {context, workspace});
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
		throw new RefusalError(resultCodes.keyMissing, 'the request has no key in its Authorization header');
	}

	if (context.now - context.confirmedAt > context.staleAfter) {
		throw new RefusalError(
			resultCodes.configurationStale,
			'the host cannot prove that the key is still valid',
			transientRetryMs,
		);
	}

	const workspace = findWorkspace(context.configuration, request.keyDigest);
	if (workspace === undefined) {
		throw new RefusalError(resultCodes.keyUnknown, 'the key was withdrawn or never given');
	}

	return workspace;
}

function validateRequest(request: Request): void {
	const {statements, kind} = request;
	if (statements.length === 0 || statements.some(({sql}) => sql.trim() === '')) {
		throw new RefusalError(resultCodes.malformed, 'the request has no statement or an empty one');
	}

	if (statements.length > maxStatements) {
		throw new RefusalError(resultCodes.tooLarge, `${statements.length} statements are more than the ${maxStatements} allowed`);
	}

	const identifiers = [request.requestId, kind.kind === 'write' ? kind.idempotencyKey : ''];
	if (identifiers.some(({length}) => length > maxIdentifierLength)) {
		throw new RefusalError(resultCodes.tooLarge, `an identifier is longer than the ${maxIdentifierLength} characters allowed`);
	}

	if (hasForbiddenStatement(statements)) {
		throw new RefusalError(
			resultCodes.malformed,
			'transaction and connection commands and tables named sapphirefall_ are not for callers',
		);
	}
}

function createWork(
	request: Request,
	options: {readonly context: AdmissionContext; readonly workspace: string},
): AdmittedRequest['work'] {
	const {kind} = request;
	if (kind.kind === 'read') {
		const point = readSessionPoint(request, options);
		return {kind: 'read', freshness: chooseFreshness(kind, options), point};
	}

	if (kind.idempotencyKey === '' && !kind.isRepeatable) {
		throw new RefusalError(
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
		throw new RefusalError(
			resultCodes.unknownFreshness,
			`the ${name} is unknown; allowed are latest, session, within <age> and the configured kinds`,
		);
	}

	return freshness;
}

function readSessionPoint(
	request: Request,
	options: {readonly context: AdmissionContext; readonly workspace: string},
): LogPoint | undefined {
	if (request.session === '') {
		return undefined;
	}

	const claim = options.context.readSession(request.session);
	if (claim === undefined) {
		throw new RefusalError(resultCodes.sessionInvalid, 'the session token is not one of this fleet');
	}

	if (claim.workspace !== options.workspace) {
		throw new RefusalError(resultCodes.sessionForeign, 'the session token belongs to another workspace');
	}

	return claim.database === request.database ? claim.point : undefined;
}
