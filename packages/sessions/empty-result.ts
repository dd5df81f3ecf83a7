import type {StatementOutcome} from './statement-outcome.ts';

/** The result of a statement that the host answers without sending it to an instance. */
export const emptyResult: StatementOutcome = {kind: 'done', rows: [], signature: '-'};
