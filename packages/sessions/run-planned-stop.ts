/* eslint-disable no-await-in-loop -- polls until the work is over */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SessionLog} from './session-log.ts';
import type {StopPhase} from './stop-phase.ts';
import {waitForReads} from './wait-for-reads.ts';

type Options = {
	/** Returns the phase of the stop now. */
	readonly findPhase: () => StopPhase;
	/** Called once for each phase that is reached, with phases that a slow process has missed left out. */
	readonly onPhase: (phase: StopPhase) => void;
	/** Takes the next step of a phase in all sessions. */
	readonly step: (phase: StopPhase) => void;
	/** Counts the open sessions, and the jobs and transactions that this host runs for other hosts. */
	readonly countWork: () => {readonly sessions: number; readonly peerJobs: number};
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	readonly log: SessionLog;
};

/** Milliseconds between two steps. */
const stepIntervalMs = 50;

/** Goes through the phases of a planned stop; resolves once no work is left after the first phase, or all of it is answered. */
export async function runPlannedStop({
	findPhase, onPhase, step, countWork, now, log,
}: Options): Promise<void> {
	let known: StopPhase | undefined;
	for (;;) {
		const phase = findPhase();
		if (phase !== known) {
			known = phase;
			log.info({phase, ...countWork()}, 'host: The planned stop goes on with the next phase.');
			onPhase(phase);
		}

		step(phase);
		const {sessions, peerJobs} = countWork();
		if (phase === 'answering' || (phase !== 'serving' && sessions + peerJobs === 0)) {
			return;
		}

		await sleep(stepIntervalMs);
		await waitForReads(now);
	}
}
