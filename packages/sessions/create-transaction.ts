import {createFailure} from './create-failure.ts';
import {createJobBase} from './create-job-base.ts';
import {describeAnswer} from './describe-answer.ts';
import {describeLease} from './describe-lease.ts';
import {hasLease} from './has-lease.ts';
import type {JobAnswer} from './job-answer.ts';
import {openTransaction} from './open-transaction.ts';
import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {TransactionScope} from './transaction-scope.ts';
import type {Transaction} from './transaction.ts';

type Options = {
	/** Workspace that the transaction counted against. */
	readonly workspace: string;
	readonly isReadOnly: boolean;
	/** Called when the transaction is rolled back because of the idle timeout. */
	readonly onIdle: () => void;
	/** Milliseconds without a statement after which the transaction is rolled back. */
	readonly idleLimit: number;
};

type OpenedTransaction = Extract<Awaited<ReturnType<typeof openTransaction>>, {readonly kind: 'opened'}>;

/**
 * Creates a transaction, which begins on an instance with its first statement.
 *
 * The instance keeps nothing of the transaction before the commit is sent, so any earlier failure guarantees that no
 * write took effect. If the answer to a commit with writes is lost, the outcome is `unknown`.
 */
export function createTransaction({workspace, isReadOnly, onIdle, idleLimit}: Options): Transaction {
	let opened: OpenedTransaction | undefined;
	let scope: TransactionScope = {workspace, opened: undefined};
	let hasEnded = false;
	let hasWritten = false;
	/** Whether the session has set a value that the connection may lack. */
	let hasUnsentValues = false;
	let endReason: string | undefined;
	let idleTimer: NodeJS.Timeout | undefined;

	const endWithRollback = async () => {
		clearTimeout(idleTimer);
		hasEnded = true;
		const ended = opened;
		opened = undefined;
		if (ended !== undefined) {
			await ended.runner({kind: 'rollback', transaction: ended.transaction}, () => true);
		}
	};

	const startIdleTimer = () => {
		clearTimeout(idleTimer);
		idleTimer = setTimeout(() => {
			end(`The transaction stood idle for ${idleLimit} ms`);
			onIdle();
		}, idleLimit);
	};

	const end = (reason: string) => {
		endReason = reason;
		void endWithRollback();
	};

	const ensureOpened = async (operation: Operation): Promise<StatementOutcome | undefined> => {
		if (opened !== undefined) {
			return undefined;
		}

		const result = await openTransaction(operation, isReadOnly);
		if (result.kind === 'failed') {
			hasEnded = true;
			return result.outcome;
		}

		opened = result;
		hasUnsentValues = false;
		scope = {workspace, opened: {route: operation.route, group: operation.group}};
		return undefined;
	};

	const isLeased = () => opened?.lease === undefined || hasLease(opened.lease);

	const abort = (reason: string) => {
		void endWithRollback();
		return createFailure('aborted', reason);
	};

	const evaluateAnswer = (answer: JobAnswer): StatementOutcome => {
		if (answer.kind !== 'answered') {
			return abort(answer.kind === 'lost' ? answer.reason : `The statement was not sent: ${answer.reason}`);
		}

		if (answer.outcome.kind === 'done' && answer.state === 'open') {
			return answer.outcome;
		}

		const outcome = answer.outcome.kind === 'failed' && answer.outcome.code !== 'unknownStatement'
			? answer.outcome
			: createFailure('aborted', 'The instance ended the transaction');
		void endWithRollback();
		return outcome;
	};

	return {
		async run(query, operation) {
			clearTimeout(idleTimer);
			const failure = await ensureOpened(operation);
			if (failure !== undefined || opened === undefined) {
				return failure ?? createFailure('aborted', 'The transaction is over');
			}

			const {instance, runner, transaction} = opened;
			const {zone} = instance.listed();
			const maySend = () => operation.isAllowed() && operation.mayReachZone(zone) && !hasEnded && (isReadOnly || isLeased());
			// Checked here too, since the session's values are sent to the instance before the statement.
			if (!maySend()) {
				return abort('The statement was not sent: the primary is being replaced, or the key or the allowed regions no longer hold');
			}

			hasWritten ||= query.access === 'write';
			const answer = await runner({
				...createJobBase(operation), kind: 'within', transaction, setup: operation.setup, query,
			}, maySend);
			operation.trace.addStep(`${instance.listed().id}: ${describeAnswer(answer)}`);
			if (answer.kind === 'answered') {
				operation.trace.addJobSpans(answer.spans);
			}

			const outcome = evaluateAnswer(answer);
			if (outcome.kind === 'done') {
				hasUnsentValues = false;
				startIdleTimer();
			}

			return outcome;
		},
		async commit({id, text}, operation) {
			clearTimeout(idleTimer);
			const failure = await ensureOpened(operation);
			if (failure !== undefined || opened === undefined) {
				return failure ?? createFailure('aborted', 'The transaction is over');
			}

			const {zone} = opened.instance.listed();
			const mayCommit = () => operation.isAllowed() && operation.mayReachZone(zone) && (!hasWritten || isLeased());
			if (!mayCommit()) {
				return abort('The primary is being replaced, or the key or the allowed regions no longer hold');
			}

			const {instance, runner, transaction, lease} = opened;
			const requestedAt = operation.context.now();
			const knownLog = lease?.group.findLogMark();
			const answer = await runner({
				...createJobBase(operation), kind: 'commit', transaction, id, text, ...hasUnsentValues && {setup: operation.setup},
			}, mayCommit);
			operation.trace.addStep(`${instance.listed().id}: commit ${describeAnswer(answer)}${describeLease(lease)}`);
			if (answer.kind === 'notSent') {
				return abort(`The commit was not sent: ${answer.reason}`);
			}

			hasEnded = true;
			opened = undefined;
			if (answer.kind === 'lost') {
				return hasWritten
					? createFailure('unknown', `The commit may have run: ${answer.reason}`)
					: createFailure('aborted', answer.reason);
			}

			operation.trace.addJobSpans(answer.spans);
			if (answer.outcome.kind === 'failed') {
				return answer.outcome;
			}

			if (!hasWritten) {
				return answer.outcome;
			}

			if (lease === undefined || answer.position === undefined || !hasLease(lease)) {
				return createFailure('unknown', 'The primary was replaced while the commit ran');
			}

			lease.group.recordAnswer(lease.instance, answer, {at: requestedAt, epoch: lease.epoch});
			lease.group.recordCommit(lease.epoch, knownLog);
			operation.setLastWrite({epoch: lease.epoch, position: answer.position});
			return answer.outcome;
		},
		recordSet() {
			hasUnsentValues = true;
		},
		rollBack() {
			void endWithRollback();
		},
		end,
		scope: () => scope,
		hasWritten: () => hasWritten,
		endReason: () => endReason,
	};
}
