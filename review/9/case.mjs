/* eslint-disable no-await-in-loop -- steps run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/run-case.mjs';
import {openWireClient} from '../lib-2/stand-ins.mjs';
import {startDeployment} from '../lib-2/start-deployment.mjs';

/** Bound of the rule, as the settings of the deployment name it. */
const drainMs = 7000;

const hostCount = 6;

/** Hosts that are lost, each as soon as it has taken over the failover. */
const lostHosts = 2;

/** Milliseconds for which clients go on after the instance was listed as draining. */
const observedMs = 14_000;

/** Milliseconds between two statements of a client. */
const pauseMs = 50;

/** Longest wait for a host to take over a failover in milliseconds. */
const takeoverTimeoutMs = 10_000;

const fleetTable = 'sapphirefall';
const stuckRow = 'group/pondbook2';

/** Opens a client of a host, which writes one item after another until its host is gone. */
async function runClient(host, {record, isOver}) {
	const client = openWireClient(host.port, {database: 'latest', key: 'good'});
	await client.started;
	for (let number = 1; !isOver() && !client.isClosed(); number++) {
		const {result} = await client.query(`WRITE ${host.name} value${number}`);
		record(`client of ${host.name}: WRITE value${number} -> ${result === '' ? 'the connection was closed' : result}`);
		await sleep(pauseMs);
	}

	client.close();
}

/** Waits until a host has fenced the primary of the second service; returns it. */
async function waitForHolder({store, hosts}, previous) {
	const until = performance.now() + takeoverTimeoutMs;
	for (;;) {
		const row = store.read(fleetTable, stuckRow);
		const holder = row?.state === 'fencing' && !previous.includes(row.holder) ? hosts.find(({name}) => name === row.holder) : undefined;
		if (holder !== undefined) {
			return holder;
		}

		if (performance.now() > until) {
			throw new Error('No host took over the failover of the second service');
		}

		await sleep(1);
	}
}

await runCase(async tools => {
	const {hasTrouble, record} = tools;
	const deployment = await startDeployment({
		hostCount, groupCount: 2, lag: 20, workMs: 5,
	}, tools);
	const [first, second] = deployment.groups;
	const [primary] = first.instances;
	await sleep(3000);
	let isOver = false;
	const clients = deployment.hosts.map(async host => runClient(host, {record, isOver: () => isOver}));
	await sleep(1000);

	const lost = [];
	const loseHolder = async () => {
		const holder = await waitForHolder(deployment, lost);
		holder.process.kill('SIGKILL');
		lost.push(holder.name);
		record(`${holder.name} has fenced the primary of ${second.name} and is lost for good`);
	};

	if (hasTrouble) {
		const [crashed] = second.instances;
		second.crash(crashed, observedMs * 2);
		record(`primary ${crashed.id} of ${second.name} has crashed`);
		await loseHolder();
	}

	first.drain(primary);
	const listedAt = performance.now();
	record(`primary ${primary.id} of ${first.name} is listed as draining, and the store has acknowledged it`);
	const lostCount = hasTrouble ? lostHosts : 0;
	while (lost.length < lostCount) {
		await loseHolder();
	}

	await sleep(Math.max(0, listedAt + observedMs - performance.now()));
	isOver = true;
	await Promise.all(clients);
	for (const host of deployment.hosts) {
		for (const line of host.output().split('\n').filter(text => text.includes('"failover: '))) {
			record(`log of ${host.name}: ${line}`);
		}
	}

	const statements = primary.executedStatements().map(({id, text, at}) => ({id, text, after: at - listedAt}));
	const last = statements.at(-1);
	record(`the last statement reached ${primary.id} ${Math.round(last?.after ?? 0)} ms after it was listed as draining`);
	const late = statements.filter(({after}) => after > drainMs);
	for (const {id, text, after} of late) {
		record(`${primary.id} ran ${id} ${text} ${Math.round(after)} ms after it was listed as draining`);
	}

	return late.length === 0 ? undefined : `DRAIN: ${late.length} statements reached ${primary.id} later than ${drainMs} ms after it was listed as draining, up to ${Math.round(last.after)} ms`;
});
