import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {chooseFindings} from './choose-findings.ts';
import {createMixedRandom} from './create-mixed-random.ts';
import {describeSoakFinding} from './describe-soak-finding.ts';
import {followProcess} from './follow-process.ts';
import {isServing} from './is-serving.ts';
import {listCutStatements} from './list-cut-statements.ts';
import {listSoakWrites} from './list-soak-writes.ts';
import {listStaleReads} from './list-stale-reads.ts';
import {listUnserved} from './list-unserved.ts';
import {listWrongAnswers} from './list-wrong-answers.ts';
import {listWrongEffects} from './list-wrong-effects.ts';
import {listWrongEnds} from './list-wrong-ends.ts';
import {runSoakClient} from './run-soak-client.ts';
import {runStopFaults} from './run-stop-faults.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {SoakRecord} from './soak-record.ts';
import type {SoakSession} from './soak-session.ts';
import {startRotation} from './start-rotation.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import {summarizeStops} from './summarize-stops.ts';
import {followLateness} from './follow-lateness.ts';

/** Seeds of the short run; a long run names others in `SOAK_SEEDS`, separated by commas. */
const seeds = (process.env['SOAK_SEEDS'] ?? '1,2').split(',').map(Number);

/** Hosts of the deployment; a run by hand may have more. */
const hostCount = Number(process.env['SOAK_HOSTS'] ?? 6);

/** Directory for the logs of the hosts of a seed that fails. None are written if it is not given. */
const logDirectory = process.env['SOAK_LOGS'];

/** Milliseconds for which a seed injects faults. */
const faultsMs = 20_000;

const gracePeriodSeconds = 6;
const clientsPerHost = 8;

/** Load of a deployment of six hosts that its rates and connections allow, a host. */
const perHost = {ratePerSecond: 34, connectionLimit: 10};

/** Milliseconds that a statement takes at an instance. */
const workChoicesMs = [20, 60, 150, 400] as const;

/** One in so many seeds has stopping processes that are slow, and hosts that may all stop at once. */
const seedIntervals = {slowStops: 5, allAtOnce: 7};

/** Time limit for writes to succeed on all hosts once the faults are over. */
const recoveryLimitMs = 8000;

/** Milliseconds after which all that was sent to instances has run and is replicated. */
const settleMs = 1000;

const bigValueBytes = 300_000;

function listFindings(record: SoakRecord): readonly SoakFinding[] {
	const writes = record.sessions.flatMap(session => listSoakWrites(session));
	return [
		...listCutStatements(record),
		...listWrongEffects(record, writes),
		...listWrongAnswers(record),
		...listStaleReads(record, writes),
		...listWrongEnds(record),
	];
}

describe('hosts over the wire protocol, that are stopped again and again', () => {
	for (const seed of seeds) {
		// Guards against statements that are cut, refused and run or run twice around planned stops, whatever overlaps with them.
		it(`answers what it has read and keeps its promises with seed ${seed}`, async () => {
			const random = createMixedRandom(seed);
			const hasSlowStops = seed % seedIntervals.slowStops === 0;
			const isAllAtOnce = seed % seedIntervals.allAtOnce === 0;
			const workMs = workChoicesMs[seed % workChoicesMs.length] ?? workChoicesMs[0];
			const deployment = await startWireDeployment({
				hostCount, lag: 60, workMs, gracePeriodSeconds, ratePerSecond: perHost.ratePerSecond * hostCount, connectionLimit: perHost.connectionLimit * hostCount,
			});
			const rotation = startRotation(deployment);
			const lateness = followLateness();
			const sessions: SoakSession[] = [];
			const failures: SoakFinding[] = [];
			const events = [`slow stops ${String(hasSlowStops)}, all at once ${String(isAllAtOnce)}, statements of ${workMs} ms`];
			try {
				await deployment.waitUntilReady();
				const processes = deployment.hosts.map(host => followProcess(host));
				await sleep(1500);
				await isServing({
					port: deployment.hosts[0]?.port ?? 0, database: 'latest', text: `WRITE soak-big ${'x'.repeat(bigValueBytes)}`, limitMs: recoveryLimitMs,
				});
				const startedAt = performance.now();
				let isEnded = false;
				const writtenItems: string[] = [];
				const clients = Array.from({length: clientsPerHost * hostCount}, async (_, client) => runSoakClient({
					client,
					random: createMixedRandom((seed * 1000) + client),
					listHosts: rotation.list,
					databaseSuffix: '',
					writtenItems,
					isOver: () => isEnded,
					onSession(session) {
						sessions.push(session);
					},
				}));
				await runStopFaults({
					deployment,
					random,
					isOver: () => performance.now() > startedAt + faultsMs,
					processes,
					isAllAtOnce,
					hasSlowStops,
					gracePeriodMs: gracePeriodSeconds * 1000,
					onEvent(event) {
						events.push(`${Math.round(performance.now() - startedAt)} ${event}`);
					},
					onFailure(what) {
						failures.push({rule: 'START', what});
					},
				});
				isEnded = true;
				await Promise.all(clients);
				failures.push(...await listUnserved({deployment, findDatabase: () => 'latest', limitMs: recoveryLimitMs}));
				await sleep(settleMs);
				const record: SoakRecord = {
					sessions, processes, groups: deployment.groups, gracePeriodMs: gracePeriodSeconds * 1000, findLateness: lateness.findLongest,
				};
				const findings = [...failures, ...listFindings(record)];
				const longestLateMs = Math.round(lateness.findLongest(startedAt, performance.now()));
				console.log([`seed ${seed}: ${events[0]}`, ...summarizeStops(record), `this process was late by up to ${longestLateMs} ms`].join('\n'));
				if (findings.length > 0 && logDirectory !== undefined) {
					const directory = path.join(logDirectory, `seed-${seed}`);
					mkdirSync(directory, {recursive: true});
					for (const {host} of processes) {
						writeFileSync(path.join(directory, `${host.name}-${host.process.pid}.log`), host.output());
					}
				}

				const described = chooseFindings(findings).map(finding => describeSoakFinding(finding, startedAt));
				expect(findings.map(({rule, what}) => `${rule}: ${what}`), [`seed ${seed}`, ...events, ...described].join('\n')).to.deep.equal([]);
				expect(processes.length).to.be.above(hostCount);
			} finally {
				lateness.stop();
				rotation.stop();
				deployment.stop();
			}
		});
	}
});
