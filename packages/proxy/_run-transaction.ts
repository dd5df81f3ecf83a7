import {
	createRefusal, hashRequest, resultCodes, type SqlResult, type SqlStatement,
} from '@sapphirefall/decisions';
import type {BatchOutcome} from '@sapphirefall/endpoints';
import {formatResults, parseResults} from '@sapphirefall/wire';
import {busyRetryAfterMs} from './_busy-retry-after-ms.ts';
import {recordStatements} from './_idempotency-record.ts';
import type {Attempt} from './_attempt.ts';
import type {CommittedTransaction} from './_committed-transaction.ts';
import type {ExecutionContext} from './execution-context.ts';
import type {Transaction} from './_transaction.ts';

/** State of this host about the table of idempotency records of a group. */
type RecordTableState = {
	/** Latest term in which this host found or created the table; a failover may have truncated its creation. */
	preparedTerm: number;
	/** Records that this host has inserted. */
	claimCount: number;
};

/** Number of records inserted between two deletions of expired ones. */
const claimsPerExpiry = 1000;

const recordTables = new WeakMap<ExecutionContext['group'], RecordTableState>();

/**
 * Runs a write at the primary. A write with an idempotency key stores its record in the same transaction; without a
 * key the write may run twice.
 *
 * @returns The committed transaction, or the outcome of an attempt that did not commit.
 */
export async function runTransaction(transaction: Transaction): Promise<CommittedTransaction | Attempt> {
	const {idempotencyKey} = transaction.request.work;
	if (idempotencyKey === '') {
		return runWithoutRecord(transaction);
	}

	const isPrepared = await prepareTable(transaction);
	if (!isPrepared) {
		return {kind: 'failed', mayHaveRun: false, reason: 'the idempotency table could not be prepared'};
	}

	return runWithRecord(transaction, {workspace: transaction.request.workspace, key: idempotencyKey});
}

/** Runs a write that has no idempotency key, in one round trip. */
async function runWithoutRecord(transaction: Transaction): Promise<CommittedTransaction | Attempt> {
	const outcome = await send(transaction, {step: 'whole', statements: transaction.request.statements});
	switch (outcome.kind) {
		case 'ran': {
			return {
				kind: 'committed', results: outcome.results, point: outcome.point, isReplayed: false,
			};
		}

		case 'refused': {
			return createFaultAttempt(outcome);
		}

		case 'lost': {
			return {kind: 'failed', mayHaveRun: true, reason: 'the answer of the primary was lost'};
		}
	}
}

/** Creates the table of idempotency records, unless that was done in this term. Returns whether it exists. */
async function prepareTable(transaction: Transaction): Promise<boolean> {
	const table = findRecordTable(transaction);
	if (table.preparedTerm !== transaction.term) {
		const outcome = await send(transaction, {step: 'whole', statements: [recordStatements.prepare]});
		if (outcome.kind !== 'ran') {
			return false;
		}

		table.preparedTerm = transaction.term;
	}

	return true;
}

function findRecordTable({context}: Transaction): RecordTableState {
	const table = recordTables.get(context.group) ?? {preparedTerm: -1, claimCount: 0};
	recordTables.set(context.group, table);
	return table;
}

/**
 * Runs a write and inserts its idempotency record in the same transaction.
 *
 * A lost answer means "not run" until the commit is sent.
 */
async function runWithRecord(
	transaction: Transaction,
	name: {readonly workspace: string; readonly key: string},
): Promise<CommittedTransaction | Attempt> {
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
				name, fingerprint, ifMissing: createFaultAttempt(begun), step: 'whole',
			})
			: createFaultAttempt(begun);
	}

	const [claimed, ...results] = begun.results;
	if (claimed?.changes !== 1) {
		const ifMissing: Attempt = {kind: 'failed', mayHaveRun: false, reason: 'the idempotency record expired'};
		return replay(transaction, {
			name, fingerprint, ifMissing, step: 'rollback',
		});
	}

	return commit(transaction, {results, finalStatements: [recordStatements.store(name, formatResults(results)), ...listExpiryStatements(transaction, wallNow)]});
}

/** Lists the statement that deletes expired records, once per `claimsPerExpiry` records. */
function listExpiryStatements(transaction: Transaction, wallNow: number): readonly SqlStatement[] {
	const table = findRecordTable(transaction);
	table.claimCount++;
	return table.claimCount % claimsPerExpiry === 0 ? [recordStatements.expire(wallNow - transaction.context.retention)] : [];
}

async function commit(
	transaction: Transaction,
	options: {
		readonly results: readonly SqlResult[];
		/** Statements that run before the commit. */
		readonly finalStatements: readonly SqlStatement[];
	},
): Promise<CommittedTransaction | Attempt> {
	const outcome = await send(transaction, {step: 'commit', statements: options.finalStatements});
	switch (outcome.kind) {
		case 'ran': {
			return {
				kind: 'committed', results: options.results, point: outcome.point, isReplayed: false,
			};
		}

		case 'refused': {
			return createFaultAttempt(outcome);
		}

		case 'lost': {
			return {kind: 'failed', mayHaveRun: true, reason: 'the answer to the commit was lost'};
		}
	}
}

/** Answers a repeated request with the results in the record of the first run. */
async function replay(
	transaction: Transaction,
	options: {
		readonly name: {readonly workspace: string; readonly key: string};
		readonly fingerprint: string;
		/** Outcome to return when there is no record. */
		readonly ifMissing: Attempt;
		readonly step: 'whole' | 'rollback';
	},
): Promise<CommittedTransaction | Attempt> {
	const outcome = await send(transaction, {step: options.step, statements: [recordStatements.select(options.name)]});
	if (outcome.kind !== 'ran') {
		return {kind: 'failed', mayHaveRun: false, reason: 'the idempotency record could not be read'};
	}

	const [fingerprint, results] = outcome.results[0]?.rows[0] ?? [];
	if (typeof fingerprint !== 'string' || typeof results !== 'string') {
		return options.ifMissing;
	}

	if (fingerprint !== options.fingerprint) {
		const reason = 'the idempotency key stands for another request';
		return {kind: 'answered', answer: createRefusal(resultCodes.idempotencyKeyReused, {reason})};
	}

	return {
		kind: 'committed', results: parseResults(results), point: outcome.point, isReplayed: true,
	};
}

async function send(
	transaction: Transaction,
	batch: {readonly step: 'whole' | 'begin' | 'commit' | 'rollback'; readonly statements: readonly SqlStatement[]},
): Promise<BatchOutcome> {
	return transaction.connection.run({...batch, term: transaction.term, isReadOnly: false}, transaction.signal);
}

function createFaultAttempt(outcome: Extract<BatchOutcome, {readonly kind: 'refused'}>): Attempt {
	switch (outcome.fault) {
		case 'statement': {
			return {kind: 'answered', answer: createRefusal(resultCodes.statementFailed, {reason: outcome.message})};
		}

		case 'busy': {
			const refusal = createRefusal(resultCodes.connectionsBusy, {reason: 'the endpoint is busy', retryAfter: busyRetryAfterMs});
			return {kind: 'refused', answer: refusal};
		}

		case 'term': {
			return {kind: 'failed', mayHaveRun: false, reason: outcome.message};
		}
	}
}
