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

/** Pause between two phases, in milliseconds, in which token buckets fill and processes settle. */
const phasePauseMs = 3000;

/** Phases named on the command line; if empty, all run but the opt-in ones. */
const selectedPhases = process.argv.slice(2);

/** Phases that run only when they are named on the command line. */
const optInPhases = new Set(['askEveryTime']);

const isSelected = (name: string) => selectedPhases.includes(name) || (selectedPhases.length === 0 && !optInPhases.has(name));

/** Metric that counts the loans that hosts requested, from other hosts or from themselves. */
const loanRequestMetric = 'sapphirefall_borrows_total';

/** Seed of the load in the first phase. Each later phase uses the next seed, also when only some phases run. */
const firstSeed = 100;

const noFault = () => undefined;
const isolatedZone = 'c';

/** Workspace that sends five times its rate. Its rate is 1.6 times its average load, so that is 8 times its average load. */
const floodWorkspace = 'w5';
const floodFactor = 8;

function createPhases(deployment: Deployment): Readonly<Record<string, Omit<Phase, 'seed'>>> {
	const [database = ''] = deployment.databases;
	const hostsOutsideZone = ['host-a1', 'host-a2', 'host-a3', 'host-b1', 'host-b2', 'host-b3'];
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
			targets: hostsOutsideZone,
			fail(cluster) {
				cluster.child('host-c2').signal('SIGKILL');
			},
			repair(cluster) {
				cluster.restart('host-c2');
			},
		},
		zoneCut: {
			duration: 12_000,
			targets: hostsOutsideZone,
			fail(cluster) {
				cluster.setZonePartitioned(isolatedZone, true);
			},
			repair(cluster) {
				cluster.setZonePartitioned(isolatedZone, false);
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
			change: workspaces => workspaces.map(workspace => workspace.name === floodWorkspace
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
			.filter(({name}) => isSelected(name));
		const overhead = isSelected('overhead') ? await measureOverhead(cluster, deployment) : undefined;
		console.log(`\n${deployment.name}: overhead ${JSON.stringify(overhead)}`);
		const summaries: Record<string, LoadSummary> = {};
		for (const {name, phase} of phases) {
			const run = name === 'health' ? runPhaseWithLoanCount : runPhase;
			const summary = await run(cluster, {deployment, phase}); // eslint-disable-line no-await-in-loop
			summaries[name] = summary;
			console.log(`\n${deployment.name}: ${name}\n${formatSummary(summary)}`);
			await sleep(phasePauseMs); // eslint-disable-line no-await-in-loop -- token buckets fill and processes settle
		}

		return {overhead, summaries};
	} finally {
		await cluster.stop();
	}
}

/** Rate settings to compare the loans with: an even split over the hosts, and a loan for each request. */
const baselines: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	staticSplit: {reserve: 1, reserveSpan: 1000},
	askEveryTime: {prefetch: 0},
};

/** Measures the `health` phase with other rate settings. */
async function benchBaseline(deployment: Deployment, rate: Readonly<Record<string, unknown>>): Promise<LoadSummary> {
	const cluster = await startDeployment(deployment, {hostsPerZone: 3, host: {rate}, serviceTime: 2});
	try {
		await sleep(2000);
		return await runPhaseWithLoanCount(cluster, {
			deployment, phase: {
				duration: 10_000, fail: noFault, repair: noFault, seed: firstSeed,
			},
		});
	} finally {
		await cluster.stop();
	}
}

/** Runs a phase and prints how many loans hosts requested during it. */
async function runPhaseWithLoanCount(cluster: Cluster, options: Parameters<typeof runPhase>[1]): Promise<LoadSummary> {
	const before = await readMetric(cluster, {name: loanRequestMetric});
	const summary = await runPhase(cluster, options);
	const borrows = await readMetric(cluster, {name: loanRequestMetric}) - before;
	console.log(`\n${borrows} loans asked for`);
	return summary;
}

function selectMeasures(summary: LoadSummary | undefined) {
	return summary === undefined
		? undefined
		: {
			replicaShare: summary.replicaShare,
			writeGapMs: summary.writeGapMs,
			worstWorkspace: summary.worstWorkspace,
			worstOfOthers: Math.min(...Object.entries(summary.workspaces).filter(([name]) => name !== floodWorkspace).map(([, share]) => share)),
			wrongfulRefusals: summary.wrongfulRefusals,
			p99WriteMs: summary.latency.write.p99,
			wrongAnswers: summary.violations.length,
		};
}

const results: Record<string, unknown> = {};
let wrongAnswers = 0;
for (const deployment of deployments) {
	// eslint-disable-next-line no-await-in-loop -- two deployments at once would compete for the machine
	const {overhead, summaries} = await benchDeployment(deployment);
	const all: Record<string, LoadSummary> = {...summaries};
	for (const [name, rate] of Object.entries(baselines).filter(([name]) => isSelected(name))) {
		all[name] = await benchBaseline(deployment, rate); // eslint-disable-line no-await-in-loop
		console.log(`\n${deployment.name}: ${name}\n${formatSummary(all[name])}`);
	}

	wrongAnswers += Object.values(all).reduce((sum, {violations}) => sum + violations.length, 0);
	results[deployment.name] = {
		...selectMeasures(summaries['health']),
		writeGapMs: summaries['primaryKilled']?.writeGapMs,
		overhead,
		phases: Object.fromEntries(Object.entries(all).map(([name, summary]) => [name, selectMeasures(summary)])),
	};
}

console.log(JSON.stringify(results));
process.exitCode = wrongAnswers === 0 ? 0 : 1;
