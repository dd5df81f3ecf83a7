import {
	addRetryCredit, admitRequest, chooseGateway, createRefusal, findProvenAt, resultCodes, takeRetry,
	type AdmittedRequest, type Answer, type HostState, type Request, type RetryBudget, type SessionClaim,
} from '@sapphirefall/decisions';
import type {EventLog} from '@sapphirefall/events';
import type {Metrics} from '@sapphirefall/operators';
import type {HostFile} from '@sapphirefall/settings';
import {runWithTimeout} from '@sapphirefall/wire';
import {executeRequest} from './execute-request.ts';
import type {FindPeer} from './find-peer.ts';
import type {GroupRuntime} from './group-runtime.ts';
import type {RateGate} from './rate-gate.ts';

type Options = {
	readonly settings: HostFile;
	readonly readState: () => HostState;
	readonly rates: RateGate;
	readonly findPeer: FindPeer;
	readonly findGroup: (database: string) => GroupRuntime | undefined;
	readonly demand: (database: string) => void;
	readonly sessions: {
		readonly write: (claim: SessionClaim) => string;
		readonly read: (token: string) => SessionClaim | undefined;
	};
	readonly events: EventLog;
	readonly metrics: Metrics;
	readonly now: () => number;
	readonly wallNow: () => number;
};

type Handled = {readonly answer: Answer; readonly session: string};

type RequestHandler = {
	readonly handle: (request: Request) => Promise<Handled>;
	/** Executes a request that another host has admitted, as its gateway. */
	readonly executeForwarded: (request: AdmittedRequest) => Promise<Answer>;
	/** Requests that run now. */
	readonly countRunning: () => number;
	/** Resolves when no request runs. */
	readonly waitForIdle: () => Promise<void>;
};

/** Creates what takes a caller's request from the door to its answer. */
export function createRequestHandler(options: Options): RequestHandler {
	const {settings, events, metrics, now} = options;
	const idleWaiters = new Set<() => void>();
	let budget: RetryBudget = {retries: 10};
	let running = 0;

	const admit = (request: Request) => {
		const state = options.readState();
		const {configuration, groups, isDraining} = state;
		return admitRequest(request, {
			configuration,
			confirmedAt: findProvenAt(state),
			databases: new Set(groups.keys()),
			isDraining,
			staleAfter: settings.keys.staleAfter,
			defaultTimeout: settings.requests.defaultDeadline,
			maxTimeout: settings.requests.longestDeadline,
			readSession: options.sessions.read,
			now: now(),
		});
	};

	const executeHere = async (request: AdmittedRequest, isGateway: boolean): Promise<Answer> => {
		const group = options.findGroup(request.database);
		if (group === undefined) {
			return createRefusal(resultCodes.unknownDatabase, {reason: `the database "${request.database}" does not exist`});
		}

		options.demand(request.database);
		budget = addRetryCredit(budget);
		return executeRequest(request, {
			group,
			isGateway,
			zone: settings.host.zone,
			now,
			wallNow: options.wallNow,
			retention: settings.idempotency.retention,
			takeRetry() {
				const taken = takeRetry(budget);
				budget = taken.budget;
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

	/** Executes a request at its gateway, or here when the gateway's answer is lost. */
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
		return withholdNotRun(request, now() < request.deadline
			? await executeHere(request, false)
			: {kind: 'unknown', code: resultCodes.deadlinePassed, reason: 'the gateway did not answer before the deadline'});
	};

	const signSession = (request: AdmittedRequest, answer: Answer): string => {
		if (answer.kind !== 'done') {
			return '';
		}

		const known = request.work.kind === 'read' ? request.work.point : undefined;
		const point = answer.point ?? known;
		return point === undefined
			? ''
			: options.sessions.write({workspace: request.workspace, database: request.database, point});
	};

	const run = async (request: AdmittedRequest): Promise<Handled> => {
		running++;
		metrics.runningRequests.set(running);
		const names = {request: request.requestId, workspace: request.workspace, database: request.database};
		events.emit({kind: 'request-admitted', ...names, detail: describeWork(request)});
		try {
			const answer = await options.rates.take(request) ?? await execute(request);
			const elapsed = now() - request.arrivedAt;
			events.emit({kind: 'request-answered', ...names, detail: `${describeAnswer(answer)} in ${elapsed.toFixed(1)} ms`});
			metrics.requestSeconds.observe({class: describeWork(request)}, elapsed / 1000);
			metrics.requests.inc({class: describeWork(request), code: findCode(answer)});
			countRead(request, answer);
			return {answer, session: signSession(request, answer)};
		} finally {
			running--;
			metrics.runningRequests.set(running);
			wakeIdle();
		}
	};

	const countRead = (request: AdmittedRequest, answer: Answer) => {
		if (request.work.kind === 'read' && answer.kind === 'done') {
			const primary = options.findGroup(request.database)?.view().primary;
			metrics.reads.inc({role: answer.instance === primary ? 'primary' : 'replica'});
		}
	};

	const wakeIdle = () => {
		if (running === 0) {
			for (const wake of idleWaiters) {
				wake();
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
				wakeIdle();
			}
		},
		countRunning: () => running,
		async waitForIdle() {
			await new Promise<void>(resolve => {
				idleWaiters.add(resolve);
				wakeIdle();
			});
		},
	};
}

/** Turns "not run" into "unknown" for a write that the gateway may still run. */
function withholdNotRun(request: AdmittedRequest, answer: Answer): Answer {
	return answer.kind === 'notRun' && request.work.kind === 'write'
		? {kind: 'unknown', code: resultCodes.answerLost, reason: `the gateway did not answer, and ${answer.reason}`}
		: answer;
}

function describeWork({work}: AdmittedRequest): string {
	return work.kind === 'write' ? 'write' : work.freshness.kind;
}

function findCode(answer: Answer): number {
	return answer.kind === 'done' ? resultCodes.done : answer.code;
}

function describeAnswer(answer: Answer): string {
	return answer.kind === 'done' ? `done by ${answer.instance}` : `${answer.kind} ${answer.code}`;
}
