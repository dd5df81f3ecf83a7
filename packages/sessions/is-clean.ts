import type {JobAnswer} from './job-answer.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

/** Returns whether another session may use the connection after an answer. */
export function isClean(answer: JobAnswer, {connection}: PooledConnection): boolean {
	if (answer.kind === 'notSent') {
		return !connection.isClosed();
	}

	// The instance does not know a statement that this host believes to be prepared on the connection.
	const hasLostStatements = answer.kind === 'answered' && answer.outcome.kind === 'failed' && answer.outcome.code === 'unknownStatement';
	return answer.kind === 'answered' && answer.state === 'idle' && !hasLostStatements;
}
