#!/usr/bin/env node
/* eslint-disable no-await-in-loop, no-void, n/file-extension-in-import -- steps run in sequence, some beside others; the stand-ins are modules of TypeScript */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {openWireClient} from '../../stand-ins/wire/open-wire-client.ts';
import {startWireDeployment} from '../../stand-ins/wire/start-wire-deployment.ts';
import {
	hasTrouble, hostProgram, runCase, smallDeployment,
} from '../lib-3/run-case.mjs';

const writeCount = 20;

/** Milliseconds that a promotion takes, as at one of the two small deployments. */
const promotionMs = 300;

/** Milliseconds for which crashed instances stay away before they come back with their logs. */
const awayMs = 7000;

/** Milliseconds within which the failover has to end. */
const failoverLimitMs = 30_000;

/** Writes items one after another; returns those that were acknowledged. */
async function writeItems({hosts}, record) {
	const client = openWireClient(hosts[0].port, {database: 'latest', key: 'good'});
	await client.started;
	const acknowledged = [];
	for (let number = 0; number < writeCount; number++) {
		const {result} = await client.query(`WRITE item${number} value${number}`);
		record(`client: WRITE item${number} -> ${result}`);
		if (result.startsWith('COMPLETE')) {
			acknowledged.push(`item${number}`);
		}
	}

	client.close();
	return acknowledged;
}

/** Describes how many commits the log of an instance has. */
function describeLog(instance) {
	return `${instance.id} ${instance.isCrashed() ? 'crashed, ' : ''}${instance.log().length}`;
}

async function play(record) {
	const deployment = await startWireDeployment({
		hostCount: 3, lag: 20, workMs: 8, isSynchronous: true, ...hostProgram, settings: smallDeployment,
	});
	try {
		await deployment.waitUntilReady();
		deployment.setPromotionDelay(promotionMs);
		await sleep(2000);
		return await judge(deployment, record);
	} finally {
		deployment.stop();
	}
}

/** Crashes an instance, which comes back with its log. */
async function crash(group, instance, record) {
	record(`instance ${instance.id}: crashes, with ${instance.log().length} commits in its log`);
	await group.crash(instance, awayMs);
	record(`instance ${instance.id}: has come back with its log`);
}

async function judge(deployment, record) {
	const {groups: [group], instances, promotions} = deployment;
	const [primary, upToDate, behind] = instances;
	if (hasTrouble) {
		record(`instance ${behind.id}: receives nothing from now on`);
		group.setCut(behind, true);
	}

	const acknowledged = await writeItems(deployment, record);
	await sleep(500);
	record(`logs: ${instances.map(instance => describeLog(instance)).join('; ')}`);
	void crash(group, primary, record);
	if (hasTrouble) {
		void crash(group, upToDate, record);
		group.setCut(behind, false);
		record(`instance ${behind.id}: receives again`);
	}

	const until = performance.now() + failoverLimitMs;
	let orders = 0;
	let promoted;
	while (promoted === undefined && performance.now() < until) {
		for (const {id, token} of promotions().slice(orders)) {
			orders++;
			record(`platform: accepts POST /promote for ${id} with the token ${token}; logs: ${instances.map(instance => describeLog(instance)).join('; ')}`);
		}

		promoted = instances.find(instance => instance !== primary && instance.role() === 'primary');
		await sleep(1);
	}

	if (promoted === undefined) {
		const isPrimaryBack = !primary.isCrashed() && primary.role() === 'primary';
		return isPrimaryBack
			? {kind: 'held', reason: `no instance was promoted, and ${primary.id} leads on with ${primary.log().length} commits`}
			: {kind: 'impossible', reason: 'no instance was promoted in time'};
	}

	const kept = new Set(promoted.log().flatMap(({writes}) => writes.map(([item]) => item)));
	const lost = acknowledged.filter(item => !kept.has(item));
	record(`instance ${promoted.id}: is promoted; logs: ${instances.map(instance => describeLog(instance)).join('; ')}`);
	await readItems(deployment, {items: acknowledged, record});
	record(`logs: ${instances.map(instance => describeLog(instance)).join('; ')}`);
	return lost.length === 0
		? {kind: 'held', reason: `${promoted.id} has all ${acknowledged.length} acknowledged commits`}
		: {kind: 'broken', reason: `${promoted.id} was promoted without ${lost.length} of ${acknowledged.length} acknowledged commits`};
}

/** Reads some of the items once all instances are back, for the record. */
async function readItems({hosts}, {items, record}) {
	await sleep(3000);
	const client = openWireClient(hosts[1].port, {database: 'latest', key: 'good'});
	await client.started;
	for (const item of items.slice(0, 5)) {
		const {result, rows} = await client.query(`READ ${item}`);
		record(`client: READ ${item} -> ${result}, rows ${JSON.stringify(rows)}`);
	}

	client.close();
}

process.exit(await runCase('12', play));
