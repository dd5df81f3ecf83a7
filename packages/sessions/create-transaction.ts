import {createFailure} from './create-failure.ts';
import {createJobBase} from './create-job-base.ts';
import {describeAnswer} from './describe-answer.ts';
import {hasLease} from './has-lease.ts';
import type {JobAnswer} from './job-answer.ts';
import {openTransaction} from './open-transaction.ts';
import type {Operation} from './operation.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {Transaction} from './transaction.ts';

type Options = {
	readonly isReadOnly: boolean;
	/** Called when the transaction is ended because it stood idle. */
	readonly onIdle: () => void;
	/** Milliseconds for which it may stand idle. */
	readonly idleLimit: number;
};

type Opened = Extract<Awaited<ReturnType<typeof openTransaction>>, {readonly kind: 'opened'}>;

/**
 * Creates a transaction; an instance hears of it with its first statement.
 *
 * Nothing of it is kept unless its commit was sent. So until then every failure is a promise, and after it a
 * lost answer is not.
 */
export function createTransaction({isReadOnly, onIdle, idleLimit}: Options): Transaction {
	let opened: Opened | undefined;
	let isOver = false;
	let hasWritten = false;
	let endedBecause: string | undefined;
	let idleTimer: NodeJS.Timeout | undefined;

	const finish = async () => {
		clearTimeout(idleTimer);
		isOver = true;
		const last = opened;
		opened = undefined;
		if (last !== undefined) {
			await last.runner({kind: 'rollback', transaction: last.transaction}, () => true);
		}
	};

	const startIdleTimer = () => {
		clearTimeout(idleTimer);
		idleTimer = setTimeout(() => {
			endedBecause = `The transaction stood idle for ${idleLimit} ms`;
			void finish();
			onIdle();
		}, idleLimit);
	};

	const ensureOpened = async (operation: Operation): Promise<StatementOutcome | undefined> => {
		if (opened !== undefined) {
			return undefined;
		}

		const begun = await openTransaction(operation, isReadOnly);
		if (begun.kind === 'failed') {
			isOver = true;
			return begun.outcome;
		}

		opened = begun;
		return undefined;
	};

	const isLeased = ({group}: Operation) => opened?.epoch === undefined || hasLease(group, opened.epoch);

	const abort = (reason: string) => {
		void finish();
		return createFailure('aborted', reason);
	};

	const judge = (answer: JobAnswer): StatementOutcome => {
		if (answer.kind !== 'answered') {
			return abort(answer.kind === 'lost' ? answer.reason : `The statement was not sent: ${answer.reason}`);
		}

		if (answer.outcome.kind === 'done' && answer.state === 'open') {
			return answer.outcome;
		}

		const outcome = answer.outcome.kind === 'failed' && answer.outcome.code !== 'unknownStatement'
			? answer.outcome
			: createFailure('aborted', 'The instance ended the transaction');
		void finish();
		return outcome;
	};

	return {
		async run(query, operation) {
			clearTimeout(idleTimer);
			const failure = await ensureOpened(operation);
			if (failure !== undefined || opened === undefined) {
				return failure ?? createFailure('aborted', 'The transaction is over');
			}

			hasWritten ||= query.access === 'write';
			const {instance, runner, transaction} = opened;
			const answer = await runner({
				...createJobBase(operation), kind: 'within', transaction, setup: operation.setup, query,
			}, () => operation.isAllowed() && !isOver && (isReadOnly || isLeased(operation)));
			operation.trace.addStep(`${instance.listed().id}: ${describeAnswer(answer)}`);
			if (answer.kind === 'answered') {
				operation.trace.addJobSpans(answer.spans);
			}

			const outcome = judge(answer);
			if (outcome.kind === 'done') {
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

			if (!operation.isAllowed() || (hasWritten && !isLeased(operation))) {
				return abort('The primary is being replaced, or the key no longer holds');
			}

			const {instance, runner, transaction, epoch} = opened;
			const askedAt = operation.context.now();
			const answer = await runner({
				...createJobBase(operation), kind: 'commit', transaction, id, text,
			}, operation.isAllowed);
			operation.trace.addStep(`${instance.listed().id}: commit ${describeAnswer(answer)}`);
			if (answer.kind === 'notSent') {
				return abort(`The commit was not sent: ${answer.reason}`);
			}

			isOver = true;
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

			if (epoch === undefined || answer.position === undefined || !hasLease(operation.group, epoch)) {
				return createFailure('unknown', 'The primary was replaced while the commit ran');
			}

			operation.group.noteAnswer(instance.listed().id, answer, {at: askedAt, epoch});
			operation.setLastWrite({epoch, position: answer.position});
			return answer.outcome;
		},
		rollBack() {
			void finish();
		},
		endReason: () => endedBecause,
	};
}
