import {
	createRefusal, hashRequest, resultCodes, type SqlResult, type SqlStatement,
} from '@sapphirefall/decisions';
import type {BatchOutcome} from '@sapphirefall/endpoints';
import {formatResults, parseResults} from '@sapphirefall/wire';
import {busyRetry} from './_busy-retry.ts';
import {recordStatements} from './_idempotency-record.ts';
import type {Attempt} from './_attempt.ts';
import type {Committed} from './_committed.ts';
import type {ExecutionContext} from './execution-context.ts';
import type {Transaction} from './_transaction.ts';

/** What this host has done to the idempotency records of a group. */
type RecordTable = {
	/** The term in which the table was last seen to exist. */
	preparedTerm: number;
	/** Records written. */
	claims: number;
};

/** Records written between two deletions of expired ones. */
const expiryPeriod = 1000;

const tables = new WeakMap<ExecutionContext['group'], RecordTable>();

/**
 * Runs a write at the primary, with its idempotency record in the same transaction unless it may run twice.
 *
 * @returns The committed transaction, or the answer or failure in which the attempt ended.
 */
export async function runTransaction(transaction: Transaction): Promise<Committed | Attempt> {
	const {idempotencyKey} = transaction.request.work;
	if (idempotencyKey === '') {
		return runRepeatable(transaction);
	}

	const isPrepared = await prepare(transaction);
	if (!isPrepared) {
		return {kind: 'failed', mayHaveRun: false, reason: 'the idempotency table could not be prepared'};
	}

	return runGuarded(transaction, {workspace: transaction.request.workspace, key: idempotencyKey});
}

/** Runs a write that may run twice, in one round trip. */
async function runRepeatable(transaction: Transaction): Promise<Committed | Attempt> {
	const outcome = await send(transaction, {step: 'whole', statements: transaction.request.statements});
	switch (outcome.kind) {
		case 'ran': {
			return {
				kind: 'committed', results: outcome.results, at: outcome.point, isReplayed: false,
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
async function prepare(transaction: Transaction): Promise<boolean> {
	const table = findTable(transaction);
	if (table.preparedTerm !== transaction.term) {
		const outcome = await send(transaction, {step: 'whole', statements: [recordStatements.prepare]});
		if (outcome.kind !== 'ran') {
			return false;
		}

		table.preparedTerm = transaction.term;
	}

	return true;
}

function findTable({context}: Transaction): RecordTable {
	const table = tables.get(context.group) ?? {preparedTerm: -1, claims: 0};
	tables.set(context.group, table);
	return table;
}

/** Runs a write together with its idempotency record. Until the commit is sent, a lost answer means "not run". */
async function runGuarded(
	transaction: Transaction,
	name: {readonly workspace: string; readonly key: string},
): Promise<Committed | Attempt> {
	const {statements} = transaction.request;
	const fingerprint = hashRequest(statements);
	const wallNow = transaction.context.wallNow();
	const claim = recordStatements.claim(name, {fingerprint, wallNow});
	const begun = await send(transaction, {step: 'begin', statements: [claim, ...statements]});
	if (begun.kind === 'lost') {
		return {kind: 'failed', mayHaveRun: false, reason: 'the primary did not answer before the commit'};
	}

	if (begun.kind === 'refused') {
		return begun.fault === 'statement'
			? replay(transaction, {
				name, fingerprint, missing: answerFault(begun), step: 'whole',
			})
			: answerFault(begun);
	}

	const [claimed, ...results] = begun.results;
	if (claimed?.changes !== 1) {
		const missing: Attempt = {kind: 'failed', mayHaveRun: false, reason: 'the idempotency record expired'};
		return replay(transaction, {
			name, fingerprint, missing, step: 'rollback',
		});
	}

	return commit(transaction, {results, last: [recordStatements.store(name, formatResults(results)), ...listExpiry(transaction, wallNow)]});
}

/** Lists the deletion of expired records when it is due. */
function listExpiry(transaction: Transaction, wallNow: number): readonly SqlStatement[] {
	const table = findTable(transaction);
	table.claims++;
	return table.claims % expiryPeriod === 0 ? [recordStatements.expire(wallNow - transaction.context.retention)] : [];
}

async function commit(
	transaction: Transaction,
	work: {readonly results: readonly SqlResult[]; readonly last: readonly SqlStatement[]},
): Promise<Committed | Attempt> {
	const outcome = await send(transaction, {step: 'commit', statements: work.last});
	switch (outcome.kind) {
		case 'ran': {
			return {
				kind: 'committed', results: work.results, at: outcome.point, isReplayed: false,
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
	transaction: Transaction,
	options: {
		readonly name: {readonly workspace: string; readonly key: string};
		readonly fingerprint: string;
		/** What to return when there is no record. */
		readonly missing: Attempt;
		readonly step: 'whole' | 'rollback';
	},
): Promise<Committed | Attempt> {
	const outcome = await send(transaction, {step: options.step, statements: [recordStatements.select(options.name)]});
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
		kind: 'committed', results: parseResults(results), at: outcome.point, isReplayed: true,
	};
}

async function send(
	transaction: Transaction,
	batch: {readonly step: 'whole' | 'begin' | 'commit' | 'rollback'; readonly statements: readonly SqlStatement[]},
): Promise<BatchOutcome> {
	return transaction.connection.run({...batch, term: transaction.term, isReadOnly: false}, transaction.signal);
}

function answerFault(outcome: Extract<BatchOutcome, {readonly kind: 'refused'}>): Attempt {
	switch (outcome.fault) {
		case 'statement': {
			return {kind: 'answered', answer: createRefusal(resultCodes.statementFailed, {reason: outcome.message})};
		}

		case 'busy': {
			const refusal = createRefusal(resultCodes.connectionsBusy, {reason: 'the endpoint is busy', retryAfter: busyRetry});
			return {kind: 'refused', answer: refusal};
		}

		case 'term': {
			return {kind: 'failed', mayHaveRun: false, reason: outcome.message};
		}
	}
}
