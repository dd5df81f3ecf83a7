/* eslint-disable no-await-in-loop -- steps run in sequence */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {usualLinkFault} from '../links/usual-link-fault.ts';
import type {InstanceGroup} from './instance-group.ts';
import {openWireClient} from './open-wire-client.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import {waitForHolder} from './wait-for-holder.ts';
import {waitForOtherPrimary} from './wait-for-other-primary.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Checkout whose hosts are run; this one if it is not given. */
const checkout = process.env['SOAK_CHECKOUT'];

/** Milliseconds within which a failover ends, also if its first host cannot go on. */
const failoverLimitMs = 12_000;

/** Milliseconds from the fence after which the host that has given the order is killed or frozen. */
const signalDelayMs = 1000;

/** Reads of lost items on each kind of route, for the report. */
const maxReadCount = 20;

/** Milliseconds for which writes go on after the order has arrived. */
const writingMs = 3000;

/** Milliseconds after which all instances can have reached each other and have stepped down. */
const settleMs = 2500;

/** Milliseconds between two looks. */
const pollMs = 10;

/** Writes items one after the other at each of some hosts, until it is stopped, which returns those that were acknowledged. */
function startWriters(hosts: WireDeployment['hosts']): {readonly stop: () => readonly string[]} {
	const acknowledged: string[] = [];
	const stopping = new AbortController();
	const write = async (port: number, name: string) => {
		for (let number = 0; !stopping.signal.aborted; number++) {
			const client = openWireClient(port, {database: 'latest', key: 'good'});
			const item = `${name}-${number}`;
			const {state} = await client.started;
			const {result} = state === '' ? {result: ''} : await client.query(`WRITE ${item} of-${item}`);
			client.close();
			if (result.startsWith('COMPLETE')) {
				acknowledged.push(item);
			}

			await sleep(pollMs);
		}
	};

	for (const {port, name} of hosts) {
		void write(port, name);
	}

	return {
		stop() {
			stopping.abort();
			return [...acknowledged];
		},
	};
}

describe('a promotion order that a link holds until another primary leads', () => {
	let deployment: WireDeployment;

	beforeEach(async () => {
		deployment = await startWireDeployment({
			hostCount: 4, lag: 40, hasLinks: true, ...checkout !== undefined && {checkout},
		});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	afterEach(() => {
		deployment.stop();
	});

	/** Drains the primary, and holds what the host sends to the cloud API that runs the failover if told so; returns that host. */
	const drainPrimary = async (group: InstanceGroup, isOrderHeld: boolean) => {
		const leader = group.leader();
		deployment.drain(leader);
		const index = await waitForHolder(deployment, {isAfter: false}) ?? -1;
		if (isOrderHeld) {
			deployment.hostLinks[index]?.cloudApi.setFault({isPartitioned: true, heldBytes: 'requests'});
		}

		return {leader, index};
	};

	/** Counts the reads of items that miss them. */
	const countMisses = async (port: number, database: string, items: readonly string[]) => {
		const client = openWireClient(port, {database, key: 'good'});
		await client.started;
		const answers = await Promise.all(items.map(async item => client.query(`READ ${item}`)));
		client.close();
		return answers.filter(({rows}) => rows[0] === '').length;
	};

	/** Lets an order arrive late, and returns the items that were acknowledged though they were committed behind a promotion. */
	const runLateOrder = async (signal: 'SIGKILL' | 'SIGSTOP' | undefined) => {
		const [group] = deployment.groups;
		if (group === undefined) {
			throw new Error('The deployment has no group');
		}

		const {leader: first, index} = await drainPrimary(group, true);
		const orderedAt = performance.now();
		const writers = startWriters(deployment.hosts.filter((_, other) => other !== index));
		if (signal !== undefined) {
			await sleep(signalDelayMs);
			deployment.hosts[index]?.process.kill(signal);
		}

		await waitForOtherPrimary(deployment.store, {group: group.name, primary: first.id, limitMs: failoverLimitMs});
		const {leader: second} = await drainPrimary(group, false);
		await waitForOtherPrimary(deployment.store, {group: group.name, primary: second.id, limitMs: failoverLimitMs});
		const term = group.leader().term();
		const heldMs = Math.round(performance.now() - orderedAt);
		deployment.hostLinks[index]?.cloudApi.setFault(usualLinkFault);
		await sleep(writingMs);
		const acknowledged = writers.stop();
		await sleep(settleMs);
		const behind = new Set(group.commits().filter(({isBehindPromotion}) => isBehindPromotion).flatMap(({entry}) => entry.writes.map(([item]) => item)));
		const lost = acknowledged.filter(item => behind.has(item));
		const {port = 0} = deployment.hosts.find((_, other) => other !== index) ?? {};
		const misses = await Promise.all(['latest', 'old'].map(async database => `${await countMisses(port, database, lost.slice(0, maxReadCount))} on ${database}`));
		console.log([
			`the order was held for ${heldMs} ms; the term rose from ${term} to ${group.leader().term()}`,
			`acknowledged ${acknowledged.length}, of these behind a promotion ${lost.length}`,
			`reads that miss one of the first ${maxReadCount} of these: ${misses.join(', ')}`,
		].join('; '));
		return lost;
	};

	const cases = [
		{name: 'by a host that goes on', signal: undefined},
		{name: 'by a host that is killed meanwhile', signal: 'SIGKILL'},
		{name: 'by a host that is frozen meanwhile', signal: 'SIGSTOP'},
	] as const;
	for (const {name, signal} of cases) {
		// Guards against commits at a primary that a late order has replaced: hosts acknowledge them, and they are rolled back.
		it(`given ${name}, lets no acknowledged commit be lost`, async () => {
			expect(await runLateOrder(signal)).to.deep.equal([]);
		});
	}
});
