import {setTimeout as sleep} from 'node:timers/promises';
import type {createGateway} from './create-gateway.ts';
import type {createSessionRegistry} from './create-session-registry.ts';
import {findStopPhase} from './find-stop-phase.ts';
import {findStopRemaining} from './find-stop-remaining.ts';
import {runPlannedStop} from './run-planned-stop.ts';
import type {SessionHost} from './session-host.ts';
import type {SessionLog} from './session-log.ts';
import type {StopPhase} from './stop-phase.ts';

type Options = {
	/** Milliseconds from the stop request until the process is killed. */
	readonly gracePeriodMs: number;
	readonly sessions: Pick<ReturnType<typeof createSessionRegistry>, 'count' | 'step' | 'waitForAnswers'>;
	readonly gateway: Pick<ReturnType<typeof createGateway>, 'close' | 'countActive' | 'endTransactions'>;
	/** Stops the periodic work of the host. */
	readonly stopPeriodicWork: () => void;
	/** Ends the server of other hosts' calls within a time in milliseconds, without losing calls. */
	readonly stopServingHosts: (limitMs: number) => Promise<void>;
	/** Deletes the registration of the host. */
	readonly leave: () => Promise<void>;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	readonly log: SessionLog;
};

/** The end of a host. */
type HostStop = Pick<SessionHost, 'stop' | 'end'> & {
	/** Returns the phase of the stop now; `serving` before it. */
	readonly findPhase: () => StopPhase;
	/** Whether the host is stopping or ending. */
	readonly hasBegun: () => boolean;
};

/** Time that deregistration, and the end of other hosts' calls, may take when the host stops. */
const leaveTimeoutMs = 600;

/** Time from when the last answers have left a stopping host until its process ends, so that they arrive before connections are reset. */
const lastAnswersMs = 200;

/** Creates the end of a host, by a planned stop or because its process has to end. */
export function createHostStop({
	gracePeriodMs, sessions, gateway, stopPeriodicWork, stopServingHosts, leave, now, log,
}: Options): HostStop {
	/** When the host was told to stop, in milliseconds of the steady clock. */
	let requestedAt: number | undefined;
	let stopped: Promise<void> | undefined;
	/** Whether the host ends without a planned stop. */
	let isEnding = false;

	const findElapsed = () => now() - (requestedAt ?? now());
	const findRemaining = () => findStopRemaining({gracePeriodMs, elapsedMs: findElapsed()});
	const findPhase = () => isEnding ? 'answering' : findStopPhase({gracePeriodMs, elapsedMs: findElapsed()});

	const finishAnswers = async () => {
		await Promise.race([sessions.waitForAnswers(), sleep(findRemaining())]);
		await sleep(Math.min(lastAnswersMs, findRemaining()));
	};

	/** Leaves the fleet while the last answers arrive. */
	const finish = async () => {
		const leaveMs = Math.min(leaveTimeoutMs, findRemaining());
		// Other hosts that wait for newer tables get their answers now.
		stopPeriodicWork();
		await Promise.all([
			finishAnswers(),
			Promise.race([Promise.all([stopServingHosts(leaveMs), leave()]), sleep(leaveMs)]),
		]);
	};

	const stop = async (stopAccepting: () => void) => {
		requestedAt = now();
		gateway.close();
		log.info({gracePeriodMs}, 'host: The host is stopping; other hosts get its callers.');
		await runPlannedStop({
			findPhase,
			onPhase(phase) {
				if (phase !== 'serving') {
					stopAccepting();
				}

				if (phase === 'rollingBack' || phase === 'answering') {
					gateway.endTransactions();
				}
			},
			step: sessions.step,
			countWork: () => ({sessions: sessions.count(), peerJobs: gateway.countActive()}),
			now,
			log,
		});
		await finish();
		log.info({elapsed: Math.round(findElapsed())}, 'host: The host has stopped.');
	};

	return {
		findPhase,
		hasBegun: () => isEnding || requestedAt !== undefined,
		async stop(stopAccepting) {
			stopped ??= stop(stopAccepting);
			return stopped;
		},
		async end() {
			isEnding = true;
			gateway.close();
			sessions.step('answering');
			await Promise.race([sessions.waitForAnswers(), sleep(lastAnswersMs)]);
			await sleep(lastAnswersMs);
		},
	};
}
