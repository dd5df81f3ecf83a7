import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/**
 * @typedef {{kind: 'held' | 'broken' | 'impossible', reason: string}} Verdict What a case has found: whether the rule held, or that the case could not run.
 * @typedef {(line: string) => void} Recorder Writes a line about what was sent, answered or run, with the seconds since the start.
 */

const exitCodes = {held: 0, broken: 1, impossible: 2};

/** Longest time of a case in milliseconds, after which it counts as one that could not run. */
const caseLimitMs = 110_000;

/** Whether the case plays the disruption; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The repository, from which the hosts are started. */
export const checkout = path.join(import.meta.dirname, '../..');

/** The program and arguments with which the deploy file starts a host. */
export const hostProgram = {program: 'target/sapphirefall.cjs', nodeArguments: ['--max-old-space-size=200'], checkout};

/** Settings of a host of a small deployment, beside those that name its addresses. */
export const smallDeployment = [
	'role=host',
	'machine_class=front',
	'serves=front',
	'region=r',
	'zones.a=r',
	'zones.b=r',
	'zones.c=r',
	'limits.cpu_share=0.675',
	'limits.cpu_cores=1',
	'limits.memory_mb=350',
	'limits.max_fds=4200',
	'limits.bandwidth_mbps=1000.0',
	'discovery=platform',
	'heartbeat_ms=1200',
	'fault_tolerance.machines=2',
	'fault_tolerance.zones=1',
	'bounds.seed_lag_s=3',
	'bounds.reuse_after_s=2',
	'bounds.stability_ms=4000',
	'bounds.ack_ms=5000',
	'bounds.catch_up_s=4',
	'bounds.drain_ms=7000',
	'bounds.max_skew_ms=12000',
	'bounds.revoke_strict=true',
	'bounds.recovery_s=12',
	'bounds.require_fencing=false',
	'bounds.unfreeze_ms=300',
];

/**
 * Runs a case and writes its record; returns the exit code of the verdict.
 *
 * @param {string} name Name of the folder of the case.
 * @param {(record: Recorder) => Promise<Verdict>} play Plays the case.
 * @returns {Promise<number>} The exit code.
 */
export async function runCase(name, play) {
	const startedAt = performance.now();
	const lines = [];
	const record = line => {
		lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${line}`);
	};

	record(hasTrouble ? 'with the disruption' : 'without the disruption');
	const {kind, reason} = await Promise.race([tryToPlay(play, record), waitForLimit()]);
	record(`${kind}: ${reason}`);
	writeFileSync(path.join(checkout, 'review', name, 'record.txt'), `${lines.join('\n')}\n`);
	console.log(`${kind}: ${reason}`);
	return exitCodes[kind];
}

async function tryToPlay(play, record) {
	try {
		return await play(record);
	} catch (error) {
		return {kind: 'impossible', reason: error.stack};
	}
}

async function waitForLimit() {
	return new Promise(resolve => {
		setTimeout(resolve, caseLimitMs, {kind: 'impossible', reason: 'the case took too long'});
	});
}
