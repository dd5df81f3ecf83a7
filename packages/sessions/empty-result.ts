import type {StatementOutcome} from './statement-outcome.ts';

/** The result of a statement that the host answers itself. */
export const emptyResult: StatementOutcome = {kind: 'done', rows: [], signature: '-'};
