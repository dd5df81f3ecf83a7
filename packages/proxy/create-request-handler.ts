import {
	addRetryCredit, admitRequest, chooseGateway, createRefusal, findConfirmedAt, resultCodes, takeRetry,
	type AdmittedRequest, type Answer, type HostState, type Request, type RetryBudget, type SessionClaim,
} from '@sapphirefall/decisions';
import type {EventLog} from '@sapphirefall/events';
import type {Metrics} from '@sapphirefall/operators';
import type {HostFile} from '@sapphirefall/settings';
import {runWithTimeout} from '@sapphirefall/wire';
import {executeRequest} from './execute-request.ts';
import type {FindPeer} from './find-peer.ts';
import type {GroupRuntime} from './group-runtime.ts';
import type {RateLimiter} from './rate-limiter.ts';

type Options = {
	readonly settings: HostFile;
	readonly readState: () => HostState;
	readonly rateLimiter: RateLimiter;
	readonly findPeer: FindPeer;
	readonly findGroup: (database: string) => GroupRuntime | undefined;
	/** Called for each request that this host executes on a group. */
	readonly onGroupRequested: (database: string) => void;
	readonly sessions: {
		readonly encode: (claim: SessionClaim) => string;
		readonly decode: (token: string) => SessionClaim | undefined;
	};
	readonly events: EventLog;
	readonly metrics: Metrics;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
	/** Returns the current wall-clock time in milliseconds. */
	readonly wallNow: () => number;
};

type HandledRequest = {readonly answer: Answer; readonly session: string};

type RequestHandler = {
	readonly handle: (request: Request) => Promise<HandledRequest>;
	/** Executes, as the gateway, a request that another host has admitted. */
	readonly executeForwarded: (request: AdmittedRequest) => Promise<Answer>;
	/** Returns the number of requests in progress. */
	readonly countRunning: () => number;
	/** Resolves when no request is in progress. */
	readonly waitForIdle: () => Promise<void>;
};

/** Creates the handler that admits, rate-limits and executes the requests of callers. */
export function createRequestHandler(options: Options): RequestHandler {
	const {settings, events, metrics, now} = options;
	const idleWaiters = new Set<() => void>();
	// Allows a few retries before the first requests have added to the budget.
	let retryBudget: RetryBudget = {retries: 10};
	let running = 0;

	const admit = (request: Request) => {
		const state = options.readState();
		const {configuration, groups, isDraining} = state;
		return admitRequest(request, {
			configuration,
			confirmedAt: findConfirmedAt(state),
			databases: new Set(groups.keys()),
			isDraining,
			staleAfter: settings.keys.staleAfter,
			defaultTimeout: settings.requests.defaultDeadline,
			maxTimeout: settings.requests.longestDeadline,
			readSession: options.sessions.decode,
			now: now(),
		});
	};

	const executeHere = async (request: AdmittedRequest, isGateway: boolean): Promise<Answer> => {
		const group = options.findGroup(request.database);
		if (group === undefined) {
			return createRefusal(resultCodes.unknownDatabase, {reason: `the database "${request.database}" does not exist`});
		}

		options.onGroupRequested(request.database);
		retryBudget = addRetryCredit(retryBudget);
		return executeRequest(request, {
			group,
			isGateway,
			zone: settings.host.zone,
			now,
			wallNow: options.wallNow,
			retention: settings.idempotency.retention,
			takeRetry() {
				const taken = takeRetry(retryBudget);
				retryBudget = taken.budget;
				if (taken.isTaken) {
					metrics.retries.inc();
				}

				return taken.isTaken;
			},
			onAttemptFailed(reason) {
				events.emit({
					kind: 'attempt-failed', request: request.requestId, workspace: request.workspace, database: request.database, detail: reason,
				});
			},
		});
	};

	/** Executes a request through its gateway, or on this host when the gateway does not answer. */
	const execute = async (request: AdmittedRequest): Promise<Answer> => {
		const gateway = chooseGateway(options.readState(), request);
		const peer = gateway === settings.host.id ? undefined : options.findPeer(gateway);
		if (peer === undefined) {
			return executeHere(request, gateway === settings.host.id);
		}

		const answer = await runWithTimeout(Math.max(1, request.deadline - now()), async signal => peer.forward(request, signal));
		if (answer !== undefined) {
			return answer;
		}

		events.emit({
			kind: 'attempt-failed', request: request.requestId, workspace: request.workspace, database: request.database, detail: `the gateway ${gateway} did not answer`,
		});
		return replaceNotRun(request, now() < request.deadline
			? await executeHere(request, false)
			: {kind: 'unknown', code: resultCodes.deadlinePassed, reason: 'the gateway did not answer before the deadline'});
	};

	const createSessionToken = (request: AdmittedRequest, answer: Answer): string => {
		if (answer.kind !== 'done') {
			return '';
		}

		const requestPoint = request.work.kind === 'read' ? request.work.point : undefined;
		const point = answer.point ?? requestPoint;
		return point === undefined
			? ''
			: options.sessions.encode({workspace: request.workspace, database: request.database, point});
	};

	const run = async (request: AdmittedRequest): Promise<HandledRequest> => {
		running++;
		metrics.runningRequests.set(running);
		const eventFields = {request: request.requestId, workspace: request.workspace, database: request.database};
		events.emit({kind: 'request-admitted', ...eventFields, detail: describeRequestClass(request)});
		try {
			const answer = await options.rateLimiter.take(request) ?? await execute(request);
			const elapsed = now() - request.arrivedAt;
			events.emit({kind: 'request-answered', ...eventFields, detail: `${describeAnswer(answer)} in ${elapsed.toFixed(1)} ms`});
			metrics.requestSeconds.observe({class: describeRequestClass(request)}, elapsed / 1000);
			metrics.requests.inc({class: describeRequestClass(request), code: findCode(answer)});
			recordRead(request, answer);
			return {answer, session: createSessionToken(request, answer)};
		} finally {
			running--;
			metrics.runningRequests.set(running);
			notifyIdle();
		}
	};

	const recordRead = (request: AdmittedRequest, answer: Answer) => {
		if (request.work.kind === 'read' && answer.kind === 'done') {
			const primary = options.findGroup(request.database)?.view().primary;
			metrics.reads.inc({role: answer.instance === primary ? 'primary' : 'replica'});
		}
	};

	const notifyIdle = () => {
		if (running === 0) {
			for (const resolve of idleWaiters) {
				resolve();
			}

			idleWaiters.clear();
		}
	};

	return {
		async handle(request) {
			const admission = admit(request);
			if (admission.kind === 'refused') {
				metrics.requests.inc({class: 'refused', code: findCode(admission.answer)});
				events.emit({kind: 'request-answered', request: request.requestId, detail: describeAnswer(admission.answer)});
				return {answer: admission.answer, session: ''};
			}

			return run(admission.request);
		},
		async executeForwarded(request) {
			running++;
			try {
				return await executeHere(request, true);
			} finally {
				running--;
				notifyIdle();
			}
		},
		countRunning: () => running,
		async waitForIdle() {
			await new Promise<void>(resolve => {
				idleWaiters.add(resolve);
				notifyIdle();
			});
		},
	};
}

/** Replaces "not run" by "unknown" for a write, as the gateway may still run it. */
function replaceNotRun(request: AdmittedRequest, answer: Answer): Answer {
	return answer.kind === 'notRun' && request.work.kind === 'write'
		? {kind: 'unknown', code: resultCodes.answerLost, reason: `the gateway did not answer, and ${answer.reason}`}
		: answer;
}

function describeRequestClass({work}: AdmittedRequest): string {
	return work.kind === 'write' ? 'write' : work.freshness.kind;
}

function findCode(answer: Answer): number {
	return answer.kind === 'done' ? resultCodes.done : answer.code;
}

function describeAnswer(answer: Answer): string {
	return answer.kind === 'done' ? `done by ${answer.instance}` : `${answer.kind} ${answer.code}`;
}
