import {createBusyFailure} from './create-busy-failure.ts';
import {createFailure} from './create-failure.ts';
import type {SessionState} from './session-state.ts';
import type {Statement} from './statement.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StopPhase} from './stop-phase.ts';
import {stopReason} from './stop-reason.ts';

type Arrival = {
	readonly kind: Statement['kind'];
	/** State of the session before the statement. */
	readonly state: SessionState;
	readonly phase: StopPhase;
};

/** Kinds of statements that begin work at an instance outside a transaction. */
const beginningKinds: ReadonlySet<Statement['kind']> = new Set(['begin', 'read', 'write', 'execute']);

/**
 * Finds the refusal of a statement that arrives so late in a planned stop that it may not be answered in time if it is
 * sent to an instance. The refusal promises that nothing of the statement, or of its transaction, is kept.
 *
 * @returns Undefined if the statement may run.
 */
export function findStopRefusal({kind, state, phase}: Arrival): (StatementOutcome & {readonly kind: 'failed'}) | undefined {
	const isEndingTransactions = phase === 'rollingBack' || phase === 'answering';
	if (state === 'open') {
		return isEndingTransactions && kind !== 'rollback' ? createFailure('aborted', stopReason) : undefined;
	}

	const isRefusing = phase === 'refusing' || isEndingTransactions;
	return state === 'idle' && isRefusing && beginningKinds.has(kind) ? createBusyFailure(stopReason, 0) : undefined;
}
