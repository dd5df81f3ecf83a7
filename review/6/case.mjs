/* eslint-disable camelcase -- names defined by the platform */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/run-case.mjs';
import {openWireClient} from '../lib-2/stand-ins.mjs';
import {startDeployment} from '../lib-2/start-deployment.mjs';

/**
 * Milliseconds that each link between hosts and instances takes. A commit reaches the replicas in 5 ms, so its answer leaves the
 * primary's machine only once each replica that is not deaf has received it, as `sync_replicas` 1 demands.
 */
const linkDelayMs = 10;

/** Milliseconds for which the up-to-date replica answers BUSY to STATUS, as an instance without a free slot does. */
const busyMs = 3000;

/** Milliseconds for which one replica receives nothing before the primary crashes. */
const deafMs = 600;

/** Number of writes that are acknowledged while one replica is deaf. */
const writeCount = 5;

/** Longest wait for a promotion in milliseconds. */
const promotionTimeoutMs = 15_000;

await runCase(async tools => {
	const {hasTrouble, record} = tools;
	const deployment = await startDeployment({
		hostCount: 3, lag: 20, workMs: 5, serviceFields: {sync_replicas: 1}, hasLinks: true,
	}, tools);
	const [group] = deployment.groups;
	const [primary, replica, deaf] = deployment.instances;
	const [host] = deployment.hosts;
	if (group === undefined || primary === undefined || replica === undefined || deaf === undefined || host === undefined) {
		throw new Error('The deployment has no group of three instances');
	}

	for (const link of group.links.values()) {
		link.setFault({delayMs: linkDelayMs});
	}

	const client = openWireClient(host.port, {database: 'latest', key: 'good'});
	await client.started;
	await sleep(2000);
	if (hasTrouble) {
		group.setCut(deaf, true);
		record(`replica ${deaf.id} receives nothing from now on`);
	}

	await sleep(deafMs - 100);
	const acknowledged = [];
	for (let number = 1; number <= writeCount; number++) {
		const value = `value${number}`;
		const {result} = await client.query(`WRITE item ${value}`); // eslint-disable-line no-await-in-loop -- writes run one after another
		record(`client: WRITE item ${value} -> ${result}`);
		if (result.startsWith('COMPLETE')) {
			acknowledged.push(value);
		}
	}

	await sleep(100);
	const findValues = instance => instance.log().flatMap(({writes}) => writes.map(([, value]) => value));
	for (const instance of deployment.instances) {
		record(`log of ${instance.id} (${instance.role()}): ${findValues(instance).join(', ')}`);
	}

	if (!acknowledged.every(value => findValues(replica).includes(value))) {
		throw new Error('A commit was acknowledged that no replica had received');
	}

	replica.setStatusRefused(true);
	record(`replica ${replica.id} answers BUSY to STATUS for ${busyMs} ms`);
	setTimeout(() => {
		replica.setStatusRefused(false);
		record(`replica ${replica.id} answers STATUS again`);
	}, busyMs);
	if (hasTrouble) {
		group.crash(primary, promotionTimeoutMs * 2);
		record(`primary ${primary.id} has crashed`);
	}

	const until = performance.now() + (hasTrouble ? promotionTimeoutMs : busyMs + 3000);
	while (deployment.promotions().length === 0 && performance.now() < until) {
		await sleep(10); // eslint-disable-line no-await-in-loop -- waits for a promotion
	}

	await sleep(2000);
	const [promotion] = deployment.promotions();
	const promoted = deployment.instances.find(({id}) => id === promotion?.id);
	if (hasTrouble && promoted === undefined) {
		throw new Error('No instance was promoted');
	}

	const reader = openWireClient(host.port, {database: 'latest', key: 'good'});
	await reader.started;
	const read = await reader.query('READ item');
	record(`client: READ item -> ${read.rows.join(' ')} ${read.result}`);
	for (const line of host.output().split('\n').filter(text => text.includes('"failover: '))) {
		record(`log of ${host.name}: ${line}`);
	}

	if (promoted === undefined) {
		return undefined;
	}

	const kept = findValues(promoted);
	record(`${promoted.id} was promoted; its log: ${kept.join(', ')}`);
	const lost = acknowledged.filter(value => !kept.includes(value));
	return lost.length === 0 ? undefined : `LOST: ${promoted.id} was promoted without the acknowledged commits ${lost.join(', ')}`;
});
