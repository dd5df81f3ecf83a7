import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {formatSummary, type LoadSummary} from '@sapphirefall/load';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {deployments} from './deployments.ts';
import {measureOverhead} from './measure-overhead.ts';
import {runPhase} from './run-phase.ts';
import {startDeployment} from './start-deployment.ts';
import {readMetric} from './read-metric.ts';
import type {Deployment} from './deployment.ts';

type Phase = Parameters<typeof runPhase>[1]['phase'];

/** Milliseconds between two phases. */
const pauseBetween = 3000;

/** Phases to run; all when none is named. */
const wanted = process.argv.slice(2);

/** Phases that run only when they are named. */
const onlyNamed = new Set(['askEveryTime']);

const isWanted = (name: string) => wanted.includes(name) || (wanted.length === 0 && !onlyNamed.has(name));

/** Loans that hosts asked others and themselves for. */
const borrowMetric = 'sapphirefall_borrows_total';

/** Seed of the load in the first phase; each further phase has the next one, whichever run. */
const firstSeed = 100;

const noFault = () => undefined;
const zoneOfFault = 'c';

/** Tenant that offers five times its rate, and the factor over its average load that gives that. */
const floodName = 'w5';
const floodFactor = 8;

function createPhases(deployment: Deployment): Readonly<Record<string, Omit<Phase, 'seed'>>> {
	const [database = ''] = deployment.databases;
	const outside = ['host-a1', 'host-a2', 'host-a3', 'host-b1', 'host-b2', 'host-b3'];
	return {
		health: {duration: 10_000, fail: noFault, repair: noFault},
		primaryReadsOnly: {
			duration: 6000,
			fail: noFault,
			repair: noFault,
			change: workspaces => workspaces.map(workspace => ({
				...workspace,
				latest: workspace.latest + workspace.session + workspace.within,
				session: 0,
				within: 0,
				rate: workspace.rate * 4,
				burst: workspace.burst * 4,
				offered: workspace.offered / 4,
			})),
		},
		storeDown: {
			duration: 10_000,
			async fail(cluster) {
				await cluster.platform.setFault({down: true});
			},
			async repair(cluster) {
				await cluster.platform.setFault({});
			},
		},
		hostKilled: {
			duration: 12_000,
			targets: outside,
			fail(cluster) {
				cluster.child('host-c2').signal('SIGKILL');
			},
			repair(cluster) {
				cluster.restart('host-c2');
			},
		},
		zoneCut: {
			duration: 12_000,
			targets: outside,
			fail(cluster) {
				cluster.setZonePartitioned(zoneOfFault, true);
			},
			repair(cluster) {
				cluster.setZonePartitioned(zoneOfFault, false);
			},
		},
		primaryKilled: {
			duration: 10_000,
			fail(cluster) {
				cluster.child(`${database}-a`).signal('SIGKILL');
			},
			repair(cluster) {
				cluster.restart(`${database}-a`);
			},
		},
		flood: {
			duration: 10_000,
			fail: noFault,
			repair: noFault,
			change: workspaces => workspaces.map(workspace => workspace.name === floodName
				? {...workspace, offered: workspace.offered * floodFactor}
				: workspace),
		},
	};
}

async function benchDeployment(deployment: Deployment) {
	const cluster = await startDeployment(deployment, {hostsPerZone: 3, host: {}, serviceTime: 2});
	try {
		await sleep(2000);
		const phases = Object.entries(createPhases(deployment))
			.map(([name, phase], index) => ({name, phase: {...phase, seed: firstSeed + index}}))
			.filter(({name}) => isWanted(name));
		const overhead = isWanted('overhead') ? await measureOverhead(cluster, deployment) : undefined;
		console.log(`\n${deployment.name}: overhead ${JSON.stringify(overhead)}`);
		const summaries: Record<string, LoadSummary> = {};
		for (const {name, phase} of phases) {
			const run = name === 'health' ? runCounted : runPhase;
			const summary = await run(cluster, {deployment, phase}); // eslint-disable-line no-await-in-loop
			summaries[name] = summary;
			console.log(`\n${deployment.name}: ${name}\n${formatSummary(summary)}`);
			await sleep(pauseBetween); // eslint-disable-line no-await-in-loop -- buckets fill and processes settle
		}

		return {overhead, summaries};
	} finally {
		await cluster.stop();
	}
}

/** Settings of rates that are baselines of the loans: an even split over the hosts, and a loan for each request. */
const baselines: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	staticSplit: {reserve: 1, reserveSpan: 1000},
	askEveryTime: {prefetch: 0},
};

/** Measures health with other settings of rates. */
async function benchBaseline(deployment: Deployment, rate: Readonly<Record<string, unknown>>): Promise<LoadSummary> {
	const cluster = await startDeployment(deployment, {hostsPerZone: 3, host: {rate}, serviceTime: 2});
	try {
		await sleep(2000);
		return await runCounted(cluster, {
			deployment, phase: {
				duration: 10_000, fail: noFault, repair: noFault, seed: firstSeed,
			},
		});
	} finally {
		await cluster.stop();
	}
}

/** Runs a phase and says how often hosts asked another one for units. */
async function runCounted(cluster: Cluster, options: Parameters<typeof runPhase>[1]): Promise<LoadSummary> {
	const before = await readMetric(cluster, {name: borrowMetric});
	const summary = await runPhase(cluster, options);
	const borrows = await readMetric(cluster, {name: borrowMetric}) - before;
	console.log(`\n${borrows} loans asked for`);
	return summary;
}

function pickMeasures(summary: LoadSummary | undefined) {
	return summary === undefined
		? undefined
		: {
			replicaShare: summary.replicaShare,
			writeGapMs: summary.writeGapMs,
			worstWorkspace: summary.worstWorkspace,
			worstOfOthers: Math.min(...Object.entries(summary.workspaces).filter(([name]) => name !== floodName).map(([, share]) => share)),
			wrongfulRefusals: summary.wrongfulRefusals,
			p99WriteMs: summary.latency.write.p99,
			wrongAnswers: summary.violations.length,
		};
}

const results: Record<string, unknown> = {};
let wrongAnswers = 0;
for (const deployment of deployments) {
	// eslint-disable-next-line no-await-in-loop -- two deployments at once would share the machine
	const {overhead, summaries} = await benchDeployment(deployment);
	const all: Record<string, LoadSummary> = {...summaries};
	for (const [name, rate] of Object.entries(baselines).filter(([name]) => isWanted(name))) {
		all[name] = await benchBaseline(deployment, rate); // eslint-disable-line no-await-in-loop
		console.log(`\n${deployment.name}: ${name}\n${formatSummary(all[name])}`);
	}

	wrongAnswers += Object.values(all).reduce((sum, {violations}) => sum + violations.length, 0);
	results[deployment.name] = {
		...pickMeasures(summaries['health']),
		writeGapMs: summaries['primaryKilled']?.writeGapMs,
		overhead,
		phases: Object.fromEntries(Object.entries(all).map(([name, summary]) => [name, pickMeasures(summary)])),
	};
}

console.log(JSON.stringify(results));
process.exitCode = wrongAnswers === 0 ? 0 : 1;
