/* eslint-disable no-await-in-loop -- the registry looks again after a pause */
import {setTimeout as sleep} from 'node:timers/promises';
import {createSession} from './create-session.ts';
import type {Instant} from './instant.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionHost} from './session-host.ts';
import type {Session} from './session.ts';

type Options = {
	readonly context: SessionContext;
	/** Called with the number of open sessions when it changes. */
	readonly onSessionCount: (count: number) => void;
	/** Work of other hosts that is under way here. */
	readonly countPeerJobs: () => number;
	/** Milliseconds from the request to stop until the process is killed. */
	readonly gracePeriodMs: number;
	readonly now: () => Instant;
};

/** The open sessions of a host. */
type SessionRegistry = {
	readonly openSession: SessionHost['openSession'];
	readonly count: () => number;
	/** Lets sessions end, and resolves when none is left or their time is over; see `SessionHost`. */
	readonly stop: SessionHost['stop'];
};

/** Milliseconds between two looks at the sessions that are left. */
const stepInterval = 100;

/** Milliseconds for which sessions may go on idle after the request to stop, so that callers are sent elsewhere first. */
const sessionGrace = 2200;

/** Milliseconds left between the last session and the end of the process. */
const exitMargin = 1200;

/** Creates the registry of a host's sessions. */
export function createSessionRegistry({
	context, onSessionCount, countPeerJobs, gracePeriodMs, now,
}: Options): SessionRegistry {
	const sessions = new Set<Session>();
	let lastNumber = 0;
	let isDoorClosed = false;

	return {
		openSession(connection) {
			lastNumber++;
			const session = createSession({
				context,
				number: lastNumber,
				send: connection.send,
				close() {
					sessions.delete(session);
					connection.close();
				},
			});
			sessions.add(session);
			onSessionCount(sessions.size);
			if (isDoorClosed) {
				session.stop();
			}

			return {
				...session,
				end() {
					sessions.delete(session);
					onSessionCount(sessions.size);
					session.end();
				},
			};
		},
		count: () => sessions.size,
		async stop(closeDoor) {
			await sleep(sessionGrace);
			closeDoor();
			isDoorClosed = true;
			for (const session of sessions) {
				session.stop();
			}

			const until = now().steady + gracePeriodMs - sessionGrace - exitMargin;
			while (sessions.size + countPeerJobs() > 0 && now().steady < until) {
				await sleep(stepInterval);
			}

			for (const session of sessions) {
				session.abort();
			}

			// The last answers are written out meanwhile.
			await sleep(stepInterval);
		},
	};
}
