import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createMixedRandom} from './create-mixed-random.ts';
import {describeSoakFinding} from './describe-soak-finding.ts';
import {failoverKinds} from './failover-kinds.ts';
import {followLateness} from './follow-lateness.ts';
import {followProcess} from './follow-process.ts';
import {listSoakWrites} from './list-soak-writes.ts';
import {listStaleReads} from './list-stale-reads.ts';
import {listUnserved} from './list-unserved.ts';
import {listWrongAnswers} from './list-wrong-answers.ts';
import {listWrongEffects} from './list-wrong-effects.ts';
import {listWrongValues} from './list-wrong-values.ts';
import {runLinkFaults} from './run-link-faults.ts';
import {runPrimaryFaults} from './run-primary-faults.ts';
import {runSoakClient} from './run-soak-client.ts';
import {runStopFaults} from './run-stop-faults.ts';
import {runZoneFaults} from './run-zone-faults.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {SoakRecord} from './soak-record.ts';
import type {SoakSession} from './soak-session.ts';
import {startRotation} from './start-rotation.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import {summarizeFailovers} from './summarize-failovers.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Hosts of the deployment; a run by hand may have more. */
const hostCount = Number(process.env['SOAK_HOSTS'] ?? 8);

/** Directory for the logs of the hosts of a seed that fails. None are written if it is not given. */
const logDirectory = process.env['SOAK_LOGS'];

/** Checkout whose hosts are run; this one if it is not given. */
const checkout = process.env['SOAK_CHECKOUT'];

/** Milliseconds for which a seed injects faults. */
const faultsMs = Number(process.env['SOAK_MS'] ?? 20_000);

const groupCount = 3;
const gracePeriodSeconds = 6;
const clientsPerHost = 9;

/** Load of a deployment of eight hosts that its rates and connections allow, a host. */
const perHost = {ratePerSecond: 60, connectionLimit: 10};

/** Milliseconds that a statement takes at an instance. */
const workChoicesMs = [8, 24, 60] as const;

/** One in so many seeds disturbs instances only, so that no host that runs a failover ends in the middle of it. */
const calmHostsInterval = 3;

/** One in so many seeds lets commits wait for a replica; also a replica that has received them may start without its log then. */
const synchronousInterval = 2;

/** Milliseconds between two faults, at least and at most; undefined if there are none. */
type GapMs = {readonly least: number; readonly most: number} | undefined;

const gapsMs = {instances: {least: 100, most: 1500}, links: {least: 100, most: 2000}, zones: {least: 800, most: 3000}};

/** What is disturbed beside hosts; seeds take turns, so that faults that overlap do not keep all commits away on every seed. */
const profiles: ReadonlyArray<{readonly instances: GapMs; readonly links: GapMs; readonly zones: GapMs}> = [
	{instances: gapsMs.instances, links: undefined, zones: undefined},
	gapsMs,
	{instances: undefined, links: undefined, zones: gapsMs.zones},
	{instances: {least: 1000, most: 5000}, links: gapsMs.links, zones: undefined},
	{instances: undefined, links: {least: 500, most: 4000}, zones: gapsMs.zones},
];

/** Weight with which a host that runs a failover is disturbed, beside about 20 of other faults of hosts. */
const holderWeight = 10;

/** Numbers of the generators of random numbers of a seed, beside those of the clients. */
const randomNumbers = {instances: 997, links: 998, zones: 999};

/** Time limit for writes to succeed on all hosts once the faults are over. */
const recoveryLimitMs = 10_000;

/** Milliseconds from the readiness of all hosts until the clients begin. */
const firstMs = 1500;

/** Milliseconds after which all that was sent to instances has run and is replicated. */
const settleMs = 1500;

/** What a soak saw. */
type SoakOutcome = {
	readonly startedAt: number;
	/** What was disturbed, and when. */
	readonly events: readonly string[];
	readonly findings: readonly SoakFinding[];
};

/** What a seed disturbs, and which deployment it disturbs. */
function chooseSoak(seed: number) {
	return {
		workMs: workChoicesMs[seed % workChoicesMs.length] ?? workChoicesMs[0],
		hasCalmHosts: seed % calmHostsInterval === 0,
		isSynchronous: seed % synchronousInterval === 0,
		profile: profiles[seed % profiles.length] ?? gapsMs,
	};
}

/** Finds the end of the names of a group's databases. */
function findSuffix(index: number): string {
	return index === 0 ? '' : `-${index + 1}`;
}

/** Uses open connections of all hosts until the soak is over. */
async function runClients({groups}: WireDeployment, {seed, ...options}: Pick<Parameters<typeof runSoakClient>[0], 'listHosts' | 'isOver' | 'onSession'> & {readonly seed: number}): Promise<void> {
	const writtenItems = groups.map((): string[] => []);
	await Promise.all(Array.from({length: clientsPerHost * hostCount}, async (_, client) => {
		const index = Math.floor(client / clientsPerHost) % groupCount;
		return runSoakClient({
			...options,
			client,
			kinds: failoverKinds,
			random: createMixedRandom((seed * 1000) + client),
			databaseSuffix: findSuffix(index),
			writtenItems: writtenItems[index] ?? [],
		});
	}));
}

type FaultOptions = {
	readonly seed: number;
	readonly processes: Parameters<typeof runStopFaults>[0]['processes'];
	readonly onEvent: (event: string) => void;
	/** Called when a host is not ready in time. */
	readonly onFailure: (what: string) => void;
};

/** Disturbs hosts, instances, links and zones at the same time for a while. Resolves once all is as before. */
async function runFaults(deployment: WireDeployment, {
	seed, processes, onEvent, onFailure,
}: FaultOptions): Promise<void> {
	const {hasCalmHosts, profile: {instances, links, zones}} = chooseSoak(seed);
	const until = performance.now() + faultsMs;
	const common = {deployment, isOver: () => performance.now() > until, onEvent};
	const createRandom = (number: number) => createMixedRandom((seed * 1000) + number);
	await Promise.all([
		instances && runPrimaryFaults({...common, random: createRandom(randomNumbers.instances), gapMs: instances}),
		links && runLinkFaults({...common, random: createRandom(randomNumbers.links), gapMs: links}),
		zones && runZoneFaults({...common, random: createRandom(randomNumbers.zones), gapMs: zones}),
		hasCalmHosts || runStopFaults({
			...common,
			random: createMixedRandom(seed),
			processes,
			isAllAtOnce: false,
			hasSlowStops: false,
			gracePeriodMs: gracePeriodSeconds * 1000,
			holderWeight,
			onFailure,
		}),
	]);
}

function listFindings(record: SoakRecord): readonly SoakFinding[] {
	const writes = record.sessions.flatMap(session => listSoakWrites(session));
	return [...listWrongEffects(record, writes), ...listWrongAnswers(record), ...listWrongValues(record), ...listStaleReads(record, writes)];
}

/** Writes the logs of the hosts, the commits and what was seen, if a directory is given for them. */
function writeLogs(seed: number, {groups, promotions}: WireDeployment, {
	outcome: {startedAt, events, findings}, startedAtUnix, processes,
}: {readonly outcome: SoakOutcome; readonly startedAtUnix: number; readonly processes: FaultOptions['processes']}): void {
	if (logDirectory === undefined) {
		return;
	}

	const directory = path.join(logDirectory, `seed-${seed}`);
	mkdirSync(directory, {recursive: true});
	for (const {host} of processes) {
		writeFileSync(path.join(directory, `${host.name}-${host.process.pid}.log`), host.output());
	}

	writeFileSync(path.join(directory, 'commits.json'), JSON.stringify({
		startedAt, startedAtUnix, commits: groups.flatMap(group => group.commits()), promotions: promotions(),
	}));
	writeFileSync(path.join(directory, 'events.txt'), [...events, ...findings.map(finding => describeSoakFinding(finding, startedAt))].join('\n'));
}

/** Runs hosts beside clients and faults that follow from a seed, and lists what must not happen. */
export async function runPrimarySoak(seed: number): Promise<SoakOutcome> {
	const {workMs, hasCalmHosts, isSynchronous} = chooseSoak(seed);
	const deployment = await startWireDeployment({
		hostCount,
		groupCount,
		lag: 60,
		workMs,
		hasLinks: true,
		isSynchronous,
		gracePeriodSeconds,
		ratePerSecond: perHost.ratePerSecond * hostCount,
		connectionLimit: perHost.connectionLimit * hostCount,
		...checkout !== undefined && {checkout},
	});
	const rotation = startRotation(deployment);
	const lateness = followLateness();
	const sessions: SoakSession[] = [];
	const failures: SoakFinding[] = [];
	const events: string[] = [];
	try {
		await deployment.waitUntilReady();
		const processes = deployment.hosts.map(host => followProcess(host));
		await sleep(firstMs);
		const startedAt = performance.now();
		const startedAtUnix = Date.now();
		let isEnded = false;
		const clients = runClients(deployment, {
			seed,
			listHosts: rotation.list,
			isOver: () => isEnded,
			onSession(session) {
				sessions.push(session);
			},
		});
		await runFaults(deployment, {
			seed,
			processes,
			onEvent(event) {
				events.push(`${Math.round(performance.now() - startedAt)} ${event}`);
			},
			onFailure(what) {
				failures.push({rule: 'START', what});
			},
		});
		await sleep(settleMs);
		failures.push(...await listUnserved({deployment, findDatabase: index => `latest${findSuffix(index)}`, limitMs: recoveryLimitMs}));
		isEnded = true;
		await clients;
		await sleep(settleMs);
		const promotionCount = deployment.promotions().length;
		if (promotionCount <= groupCount) {
			failures.push({rule: 'FEW', what: `${promotionCount} promotions, where more than ${groupCount} are asked`});
		}

		const record: SoakRecord = {
			sessions, processes, groups: deployment.groups, gracePeriodMs: gracePeriodSeconds * 1000, findLateness: lateness.findLongest,
		};
		const findings = [...failures, ...listFindings(record)];
		const longestLateMs = Math.round(lateness.findLongest(startedAt, performance.now()));
		console.log([
			`seed ${seed}: statements of ${workMs} ms, hosts are ${hasCalmHosts ? 'calm' : 'stopped too'}, replicas are ${isSynchronous ? 'synchronous' : 'asynchronous'}`,
			...summarizeFailovers(record, promotionCount),
			`this process was late by up to ${longestLateMs} ms`,
		].join('\n'));
		const outcome: SoakOutcome = {startedAt, events, findings};
		if (findings.length > 0) {
			writeLogs(seed, deployment, {outcome, startedAtUnix, processes});
		}

		return outcome;
	} finally {
		lateness.stop();
		rotation.stop();
		deployment.stop();
	}
}
