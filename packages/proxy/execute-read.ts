import {
	chooseInstance, createRefusal, findStaleness, isCovered, resultCodes,
	type AdmittedRequest, type Answer, type GroupView, type LogPoint, type SqlResult,
} from '@sapphirefall/decisions';
import {repeatAttempts} from './_repeat-attempts.ts';
import type {Attempt} from './_attempt.ts';
import type {ExecutionContext} from './execution-context.ts';

type ReadRequest = AdmittedRequest & {readonly work: {readonly kind: 'read'}};

/** The instance chosen for a read, and the term of that choice; the instance refuses a read of any other term. */
type InstanceChoice = {
	readonly kind: 'replica' | 'primary';
	readonly instance: string;
	readonly term: number;
};

/** The answer of an instance to a read. */
type ReadResult = {
	readonly kind: 'read';
	readonly results: readonly SqlResult[];
	/** Log point of the instance when it answered. */
	readonly point: LogPoint;
	readonly instance: string;
	readonly term: number;
};

/** Share of the time left until the deadline that a read waits for a connection before it tries another instance. */
const connectionWaitShare = 0.3;

/** Greatest time that a read waits for a connection to one instance. */
const maxConnectionWaitMs = 1000;

/**
 * Executes a read on a replica that is known to be fresh enough, else on the primary.
 *
 * The freshness is checked again with the log point in the answer, so that an instance whose log was truncated after
 * it was chosen cannot serve older data.
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
	const choice = await context.group.waitFor(view => {
		const found = chooseInstance(excludeInstances(view, failed), {
			...request.work, zone: context.zone, now: context.now(),
		});
		return found.kind === 'none' ? undefined : {...found, term: view.term};
	}, {deadline: request.deadline, isUrgent: true});
	if (choice === undefined) {
		return {kind: 'failed', mayHaveRun: false, reason: 'no instance that can serve the read is known'};
	}

	const result = await runRead(request, {context, choice});
	if (choice.kind === 'primary') {
		// If the primary fails too, a replica that failed before may be the only choice left for the next attempt.
		failed.clear();
		return result.kind === 'read' ? confirmRead(request, {context, result}) : result;
	}

	if (result.kind === 'read' && isFreshEnough(request, {context, result})) {
		return createDoneAttempt(result, undefined);
	}

	failed.add(choice.instance);
	return result.kind === 'read'
		? {kind: 'failed', mayHaveRun: true, reason: 'the replica was too far behind'}
		: result;
}

/** Removes from a view the instances that have failed this request. */
function excludeInstances(view: GroupView, failed: ReadonlySet<string>): GroupView {
	return failed.size === 0
		? view
		: {...view, instances: new Map([...view.instances].filter(([id]) => !failed.has(id)))};
}

async function runRead(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly choice: InstanceChoice},
): Promise<ReadResult | Attempt> {
	const {context} = options;
	const {instance, term} = options.choice;
	const now = context.now();
	const deadline = now + Math.min(maxConnectionWaitMs, (request.deadline - now) * connectionWaitShare);
	const scope = context.group.openAttempt(term, request.deadline);
	try {
		const connection = await context.group.acquire(instance, {
			...request, deadline, isGateway: context.isGateway, signal: scope.signal,
		});
		if (connection === undefined) {
			return {kind: 'failed', mayHaveRun: false, reason: 'no connection came free'};
		}

		const outcome = await connection.run({
			term, isReadOnly: true, step: 'whole', statements: request.statements,
		}, scope.signal);
		context.group.release(connection);
		switch (outcome.kind) {
			case 'ran': {
				return {
					kind: 'read', results: outcome.results, point: outcome.point, instance, term,
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

/** Returns whether a replica's answer is as fresh as the read requires. */
function isFreshEnough(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly result: ReadResult},
): boolean {
	const {freshness, point} = request.work;
	const {context, result} = options;
	if (result.point.term !== result.term) {
		return false;
	}

	return freshness.kind === 'within'
		? findStaleness(context.group.view(), {point: result.point, now: context.now()}) <= freshness.age
		: point !== undefined && isCovered(point, result.point);
}

/**
 * Confirms an answer of the primary.
 *
 * Waits until a majority holds the log up to the point of the answer. Unless the session's own log point suffices, it
 * also waits until a majority is known to have held the primary's term no earlier than the arrival of the read or, for a
 * read that accepts a staleness, no earlier than that long ago.
 */
async function confirmRead(
	request: ReadRequest,
	options: {readonly context: ExecutionContext; readonly result: ReadResult},
): Promise<Attempt> {
	const {context, result} = options;
	const {freshness, point} = request.work;
	const isOwnPoint = freshness.kind === 'session' && point !== undefined && isCovered(point, result.point);
	const outcome = await context.group.waitFor(view => {
		if (view.term > result.term) {
			return 'replaced';
		}

		const since = freshness.kind === 'within' ? context.now() - freshness.age : request.arrivedAt;
		const isCurrent = isOwnPoint || (view.proof !== undefined && view.proof.since >= since);
		const isHeld = view.acknowledged !== undefined && isCovered(result.point, view.acknowledged);
		return isCurrent && isHeld ? 'confirmed' : undefined;
	}, {deadline: request.deadline, isUrgent: true});
	return outcome === 'confirmed'
		? createDoneAttempt(result, result.point)
		: {
			kind: 'failed',
			mayHaveRun: true,
			reason: outcome === 'replaced' ? 'the primary was replaced' : 'no majority confirmed the primary before the deadline',
		};
}

function createDoneAttempt(result: ReadResult, point: LogPoint | undefined): Attempt {
	return {
		kind: 'answered',
		answer: {
			kind: 'done', results: result.results, point, isReplayed: false, instance: result.instance,
		},
	};
}
