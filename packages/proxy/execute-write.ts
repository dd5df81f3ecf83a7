import {
	createRefusal, hashRequest, isCovered, resultCodes,
	type AdmittedRequest, type Answer, type LogPoint, type SqlResult, type SqlStatement,
} from '@sapphirefall/decisions';
import type {BatchOutcome, Connection} from '@sapphirefall/endpoints';
import {formatResults, parseResults} from '@sapphirefall/wire';
import {recordStatements} from './_idempotency-record.ts';
import {repeatAttempts} from './_repeat-attempts.ts';
import type {Attempt} from './_attempt.ts';
import type {ExecutionContext} from './execution-context.ts';

type WriteRequest = AdmittedRequest & {readonly work: {readonly kind: 'write'}};

/** One attempt: a connection to the primary of a term, for as long as the scope's signal allows. */
type Run = {
	readonly request: WriteRequest;
	readonly context: ExecutionContext;
	readonly connection: Connection;
	readonly term: number;
	readonly signal: AbortSignal;
};

/** A transaction that committed at the primary, with its results. */
type Committed = {
	readonly kind: 'committed';
	readonly results: readonly SqlResult[];
	readonly at: LogPoint;
	readonly isReplayed: boolean;
};

/** Milliseconds after which a caller may try again when all connections are busy. */
const busyRetry = 200;

/** Claims between two deletions of expired idempotency records. */
const expiryPeriod = 1000;

const preparedTerms = new WeakMap<ExecutionContext['group'], Set<number>>();
let claims = 0;

/**
 * Executes a write: runs it with its idempotency record in one transaction at the primary, and acknowledges it
 * once a majority of the group holds it in the primary's term.
 *
 * An attempt whose commit or acknowledgement is lost is repeated; the record makes the repeat harmless.
 */
export async function executeWrite(request: WriteRequest, context: ExecutionContext): Promise<Answer> {
	return repeatAttempts(request, {context, attempt: async () => attemptWrite(request, context)});
}

async function attemptWrite(request: WriteRequest, context: ExecutionContext): Promise<Attempt> {
	const {group} = context;
	const {deadline} = request;
	const primary = await group.waitFor(
		view => view.primary === undefined ? undefined : {instance: view.primary, term: view.term},
		{deadline, isUrgent: false},
	);
	if (primary === undefined) {
		return {kind: 'failed', mayHaveRun: false, reason: 'no primary is known'};
	}

	const {instance, term} = primary;
	const scope = group.openScope(term, deadline);
	try {
		const connection = await group.take(instance, {...request, isGateway: context.isGateway, signal: scope.signal});
		if (connection === undefined) {
			return createBusy(context, request);
		}

		const outcome = await runTransaction({
			request, context, connection, term, signal: scope.signal,
		});
		group.give(connection);
		return outcome.kind === 'committed'
			? await acknowledge(outcome, {
				request, context, term, instance,
			})
			: outcome;
	} finally {
		scope.close();
	}
}

function createBusy(context: ExecutionContext, request: WriteRequest): Attempt {
	const isLate = context.now() >= request.deadline;
	const refusal = createRefusal(resultCodes.connectionsBusy, {
		reason: 'no connection to the primary came free before the deadline', retryAfter: busyRetry,
	});
	return isLate
		? {kind: 'answered', answer: refusal}
		: {kind: 'failed', mayHaveRun: false, reason: 'the primary was replaced'};
}

async function runTransaction(run: Run): Promise<Committed | Attempt> {
	const {idempotencyKey} = run.request.work;
	if (idempotencyKey === '') {
		return runRepeatable(run);
	}

	const isPrepared = await prepare(run);
	if (!isPrepared) {
		return {kind: 'failed', mayHaveRun: false, reason: 'the idempotency table could not be prepared'};
	}

	return runGuarded(run, {workspace: run.request.workspace, key: idempotencyKey});
}

/** Runs a write that may run twice, in one round trip. */
async function runRepeatable(run: Run): Promise<Committed | Attempt> {
	const outcome = await send(run, {step: 'whole', statements: run.request.statements});
	switch (outcome.kind) {
		case 'ran': {
			return {
				kind: 'committed', results: outcome.results, at: outcome.at, isReplayed: false,
			};
		}

		case 'refused': {
			return answerFault(outcome);
		}

		case 'lost': {
			return {kind: 'failed', mayHaveRun: true, reason: 'the answer of the primary was lost'};
		}
	}
}

/** Creates the table of idempotency records once a term. */
async function prepare(run: Run): Promise<boolean> {
	const terms = preparedTerms.get(run.context.group) ?? new Set();
	preparedTerms.set(run.context.group, terms);
	if (!terms.has(run.term)) {
		const outcome = await send(run, {step: 'whole', statements: [recordStatements.prepare]});
		if (outcome.kind !== 'ran') {
			return false;
		}

		terms.add(run.term);
	}

	return true;
}

/** Runs a write together with its idempotency record. Until the commit is sent, a lost answer means "not run". */
async function runGuarded(
	run: Run,
	name: {readonly workspace: string; readonly key: string},
): Promise<Committed | Attempt> {
	const {statements} = run.request;
	const fingerprint = hashRequest(statements);
	const wallNow = run.context.wallNow();
	const claim = recordStatements.claim(name, {fingerprint, wallNow});
	const begun = await send(run, {step: 'begin', statements: [claim, ...statements]});
	if (begun.kind === 'lost') {
		return {kind: 'failed', mayHaveRun: false, reason: 'the primary did not answer before the commit'};
	}

	if (begun.kind === 'refused') {
		return begun.fault === 'statement'
			? replay(run, {
				name, fingerprint, missing: answerFault(begun), step: 'whole',
			})
			: answerFault(begun);
	}

	const [claimed, ...results] = begun.results;
	if (claimed?.changes !== 1) {
		const missing: Attempt = {kind: 'failed', mayHaveRun: false, reason: 'the idempotency record expired'};
		return replay(run, {
			name, fingerprint, missing, step: 'rollback',
		});
	}

	return commit(run, {results, last: [recordStatements.store(name, formatResults(results)), ...listExpiry(run, wallNow)]});
}

/** Lists the deletion of expired records when it is due. */
function listExpiry(run: Run, wallNow: number): readonly SqlStatement[] {
	claims++;
	return claims % expiryPeriod === 0 ? [recordStatements.expire(wallNow - run.context.retention)] : [];
}

async function commit(
	run: Run,
	work: {readonly results: readonly SqlResult[]; readonly last: readonly SqlStatement[]},
): Promise<Committed | Attempt> {
	const outcome = await send(run, {step: 'commit', statements: work.last});
	switch (outcome.kind) {
		case 'ran': {
			return {
				kind: 'committed', results: work.results, at: outcome.at, isReplayed: false,
			};
		}

		case 'refused': {
			return answerFault(outcome);
		}

		case 'lost': {
			return {kind: 'failed', mayHaveRun: true, reason: 'the answer to the commit was lost'};
		}
	}
}

/** Answers a repeat from the record of the first run. */
async function replay(
	run: Run,
	options: {
		readonly name: {readonly workspace: string; readonly key: string};
		readonly fingerprint: string;
		/** What to return when there is no record. */
		readonly missing: Attempt;
		readonly step: 'whole' | 'rollback';
	},
): Promise<Committed | Attempt> {
	const outcome = await send(run, {step: options.step, statements: [recordStatements.select(options.name)]});
	if (outcome.kind !== 'ran') {
		return {kind: 'failed', mayHaveRun: false, reason: 'the idempotency record could not be read'};
	}

	const [fingerprint, results] = outcome.results[0]?.rows[0] ?? [];
	if (typeof fingerprint !== 'string' || typeof results !== 'string') {
		return options.missing;
	}

	if (fingerprint !== options.fingerprint) {
		const reason = 'the idempotency key stands for another request';
		return {kind: 'answered', answer: createRefusal(resultCodes.idempotencyKeyReused, {reason})};
	}

	return {
		kind: 'committed', results: parseResults(results), at: outcome.at, isReplayed: true,
	};
}

async function send(
	run: Run,
	batch: {readonly step: 'whole' | 'begin' | 'commit' | 'rollback'; readonly statements: readonly SqlStatement[]},
): Promise<BatchOutcome> {
	return run.connection.run({...batch, term: run.term, isReadOnly: false}, run.signal);
}

function answerFault(outcome: Extract<BatchOutcome, {readonly kind: 'refused'}>): Attempt {
	switch (outcome.fault) {
		case 'statement': {
			return {kind: 'answered', answer: createRefusal(resultCodes.statementFailed, {reason: outcome.message})};
		}

		case 'busy': {
			const refusal = createRefusal(resultCodes.connectionsBusy, {reason: 'the endpoint is busy', retryAfter: busyRetry});
			return {kind: 'answered', answer: refusal};
		}

		case 'term': {
			return {kind: 'failed', mayHaveRun: false, reason: outcome.message};
		}
	}
}

/** Waits until a majority holds the transaction in the term in which it committed. */
async function acknowledge(
	committed: Committed,
	options: {
		readonly request: WriteRequest;
		readonly context: ExecutionContext;
		readonly term: number;
		readonly instance: string;
	},
): Promise<Attempt> {
	const {request, context, term, instance} = options;
	const {at} = committed;
	const settled = await context.group.waitFor(view => {
		if (view.term > term) {
			return 'replaced';
		}

		return view.acknowledged !== undefined && isCovered(at, view.acknowledged) ? 'held' : undefined;
	}, {deadline: request.deadline, isUrgent: true});
	return settled === 'held'
		? {
			kind: 'answered',
			answer: {
				kind: 'done', results: committed.results, point: at, isReplayed: committed.isReplayed, instance,
			},
		}
		: {
			kind: 'failed',
			mayHaveRun: true,
			reason: settled === 'replaced'
				? 'the primary was replaced before a majority held the write'
				: 'no majority held the write before the deadline',
		};
}
