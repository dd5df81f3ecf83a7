import {createSession} from './create-session.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionHost} from './session-host.ts';
import type {Session} from './session.ts';
import type {StopPhase} from './stop-phase.ts';

type Options = {
	readonly context: SessionContext;
	/** Called with the number of open sessions when a session opens or its caller disconnects. */
	readonly onSessionCount: (count: number) => void;
};

/** The open sessions of a host. */
type SessionRegistry = {
	readonly openSession: SessionHost['openSession'];
	readonly count: () => number;
	/** Takes the next step of a planned stop in all sessions. */
	readonly step: (phase: StopPhase) => void;
	/** Resolves once the answers of all sessions that were closed here have left this process. */
	readonly waitForAnswers: () => Promise<void>;
};

/** Creates the registry of a host's open sessions. */
export function createSessionRegistry({context, onSessionCount}: Options): SessionRegistry {
	const sessions = new Set<Session>();
	/** Closed connections with answers that have not left this process. */
	const closing = new Set<Promise<void>>();
	let lastNumber = 0;

	const trackClosing = async (closed: Promise<void>) => {
		closing.add(closed);
		await closed;
		closing.delete(closed);
	};

	return {
		openSession(connection) {
			lastNumber++;
			const session = createSession({
				context,
				number: lastNumber,
				send: connection.send,
				readMore: connection.readMore,
				waitForReader: connection.waitForReader,
				close() {
					sessions.delete(session);
					void trackClosing(connection.close());
				},
			});
			sessions.add(session);
			onSessionCount(sessions.size);
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
		step(phase) {
			for (const session of sessions) {
				if (phase === 'answering') {
					context.log.info(session.findWork(), 'session: The host answers what the session runs, and closes it at the end of its stop.');
				}

				session.step(phase);
			}
		},
		async waitForAnswers() {
			await Promise.all(closing);
		},
	};
}
