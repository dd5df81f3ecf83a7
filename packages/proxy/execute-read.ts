import {
	chooseInstance, createRefusal, findAge, isCovered, resultCodes,
	type AdmittedRequest, type Answer, type GroupView, type LogPoint, type SqlResult,
} from '@sapphirefall/decisions';
import {repeatAttempts} from './_repeat-attempts.ts';
import type {Attempt} from './_attempt.ts';
import type {ExecutionContext} from './execution-context.ts';

type ReadRequest = AdmittedRequest & {readonly work: {readonly kind: 'read'}};

/** The instance chosen for a read, and the term in which it was chosen; the instance refuses any other. */
type Plan = {
	readonly kind: 'replica' | 'primary';
	readonly instance: string;
	readonly term: number;
};

/** What an instance answered to a read. */
type Result = {
	readonly kind: 'read';
	readonly results: readonly SqlResult[];
	readonly at: LogPoint;
	readonly instance: string;
	readonly term: number;
};

/** Share of the time left that a read waits for a connection to one instance before it tries another. */
const waitShare = 0.3;

/** Milliseconds that a read waits for a connection to one instance at most. */
const longestWait = 1000;

/**
 * Executes a read: on a replica whose data is proven fresh enough, else on the primary.
 *
 * The proof is checked against the log end that the answer itself carries, so an instance that fell back
 * between choice and answer cannot serve older data.
 */
export async function executeRead(request: ReadRequest, context: ExecutionContext): Promise<Answer> {
	const failed = new Set<string>();
	return repeatAttempts(request, {context, attempt: async () => attemptRead(request, {context, failed})});
}

async function attemptRead(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly failed: Set<string>},
): Promise<Attempt> {
	const {context, failed} = options;
	const plan = await context.group.waitFor(view => {
		const found = chooseInstance(excludeInstances(view, failed), {
			...request.work, zone: context.zone, now: context.now(),
		});
		return found.kind === 'none' ? undefined : {...found, term: view.term};
	}, {deadline: request.deadline, isUrgent: true});
	if (plan === undefined) {
		return {kind: 'failed', mayHaveRun: false, reason: 'no instance that can serve the read is known'};
	}

	const result = await runRead(request, {context, plan});
	if (plan.kind === 'primary') {
		// A replica that failed once may be all that is left.
		failed.clear();
		return result.kind === 'read' ? proveRead(request, {context, result}) : result;
	}

	if (result.kind === 'read' && isProven(request, {context, result})) {
		return createDone(result, undefined);
	}

	failed.add(plan.instance);
	return result.kind === 'read'
		? {kind: 'failed', mayHaveRun: true, reason: 'the replica was too far behind'}
		: result;
}

/** Leaves out the replicas that have failed this request. */
function excludeInstances(view: GroupView, failed: ReadonlySet<string>): GroupView {
	return failed.size === 0
		? view
		: {...view, instances: new Map([...view.instances].filter(([id]) => !failed.has(id)))};
}

async function runRead(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly plan: Plan},
): Promise<Result | Attempt> {
	const {context} = options;
	const {instance, term} = options.plan;
	const now = context.now();
	const deadline = now + Math.min(longestWait, (request.deadline - now) * waitShare);
	const scope = context.group.openScope(term, request.deadline);
	try {
		const connection = await context.group.take(instance, {
			...request, deadline, isGateway: context.isGateway, signal: scope.signal,
		});
		if (connection === undefined) {
			return {kind: 'failed', mayHaveRun: false, reason: 'no connection came free'};
		}

		const outcome = await connection.run({
			term, isReadOnly: true, step: 'whole', statements: request.statements,
		}, scope.signal);
		context.group.give(connection);
		switch (outcome.kind) {
			case 'ran': {
				return {
					kind: 'read', results: outcome.results, at: outcome.point, instance, term,
				};
			}

			case 'lost': {
				return {kind: 'failed', mayHaveRun: true, reason: 'the answer of the instance was lost'};
			}

			case 'refused': {
				return outcome.fault === 'statement'
					? {kind: 'answered', answer: createRefusal(resultCodes.statementFailed, {reason: outcome.message})}
					: {kind: 'failed', mayHaveRun: false, reason: outcome.message};
			}
		}
	} finally {
		scope.close();
	}
}

/** Tells whether a replica's answer is as fresh as the read demands. */
function isProven(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly result: Result},
): boolean {
	const {freshness, point} = request.work;
	const {context, result} = options;
	if (result.at.term !== result.term) {
		return false;
	}

	return freshness.kind === 'within'
		? findAge(context.group.view(), {at: result.at, now: context.now()}) <= freshness.age
		: point !== undefined && isCovered(point, result.at);
}

/**
 * Proves an answer of the primary.
 *
 * Waits until a majority holds all that the answer saw and, unless the session's own point suffices, until a
 * majority is known to have held the primary's term since the read arrived or since the accepted age ago.
 */
async function proveRead(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly result: Result},
): Promise<Attempt> {
	const {context, result} = options;
	const {freshness, point} = request.work;
	const isOwnPoint = freshness.kind === 'session' && point !== undefined && isCovered(point, result.at);
	const settled = await context.group.waitFor(view => {
		if (view.term > result.term) {
			return 'replaced';
		}

		const since = freshness.kind === 'within' ? context.now() - freshness.age : request.arrivedAt;
		const isCurrent = isOwnPoint || (view.proof !== undefined && view.proof.since >= since);
		const isHeld = view.acknowledged !== undefined && isCovered(result.at, view.acknowledged);
		return isCurrent && isHeld ? 'proven' : undefined;
	}, {deadline: request.deadline, isUrgent: true});
	return settled === 'proven'
		? createDone(result, result.at)
		: {
			kind: 'failed',
			mayHaveRun: true,
			reason: settled === 'replaced' ? 'the primary was replaced' : 'no majority confirmed the primary before the deadline',
		};
}

function createDone(result: Result, point: LogPoint | undefined): Attempt {
	return {
		kind: 'answered',
		answer: {
			kind: 'done', results: result.results, point, isReplayed: false, instance: result.instance,
		},
	};
}
