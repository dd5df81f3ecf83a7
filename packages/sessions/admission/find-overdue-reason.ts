import type {ClientProgress} from './client-progress.ts';

/** Milliseconds within which a client starts its session. */
const startTimeoutMs = 10_000;

/** Milliseconds from the first to the last byte of a message; 1 MiB takes 4 s at 2 Mbit/s. */
const messageTimeoutMs = 60_000;

/** Milliseconds for which answers may wait for a client that does not take them. */
const answerTimeoutMs = 60_000;

/** Finds why a client's connection is to be closed at a time of the steady clock; undefined if it may go on. */
export function findOverdueReason({openedAt, hasStarted, messageSince, unreadSince}: ClientProgress, now: number): string | undefined {
	if (!hasStarted && now - openedAt >= startTimeoutMs) {
		return 'The session was not started in time';
	}

	if (messageSince !== undefined && now - messageSince >= messageTimeoutMs) {
		return 'The message was not complete in time';
	}

	return unreadSince !== undefined && now - unreadSince >= answerTimeoutMs ? 'The answers were not taken in time' : undefined;
}
