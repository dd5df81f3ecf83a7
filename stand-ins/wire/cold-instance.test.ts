/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
/* eslint-disable no-await-in-loop -- statements of a session run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {openWireClient} from './open-wire-client.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

const limit = {perSecond: 10, overage: 1.5, slack: 5};

const allowed = (limit.perSecond * limit.overage) + limit.slack;

/** Milliseconds for which an instance is cold after its start. */
const coldMs = 8000;

/** Milliseconds for which the clients read. */
const readMs = 3500;

/** Database whose reads only the instance of zone `c` may serve, in region `east`. */
const eastern = 'old';

describe('hosts, where routes are restricted to a region and cold instances are limited', () => {
	let deployment: WireDeployment;
	const open = (host: number, database: string) => openWireClient(deployment.hosts[host]?.port ?? 0, {database, key: 'good'});
	const findEastern = () => {
		const instance = deployment.instances[2];
		if (instance === undefined) {
			throw new Error('There is no third instance');
		}

		return instance;
	};

	before(async () => {
		deployment = await startWireDeployment({
			hostCount: 3,
			lag: 20,
			warmupMs: coldMs,
			ratePerSecond: 2000,
			serviceFields: {warmup_s: coldMs / 1000, warmup_per_s: limit.perSecond},
			routeFields: {[eastern]: {allowed_regions: ['east']}, own: {allowed_regions: ['east']}},
			settings: ['zones.a=north', 'zones.b=north', 'zones.c=east', `bounds.warmup_overage=${limit.overage}`, `bounds.warmup_slack=${limit.slack}`],
		});
		await deployment.waitUntilReady();
		await sleep(2500);
	});

	after(() => {
		deployment.stop();
	});

	/** Finds the most statements that an instance got in a second after a moment. */
	const findMost = (from: number) => {
		const times = findEastern().executedStatements().map(({at}) => at).filter(at => at >= from);
		return Math.max(0, ...times.map(start => times.filter(at => at >= start && at <= start + 1000).length));
	};

	/** Reads at all hosts for a while; returns how many reads were served. */
	const readEverywhere = async (spanMs = readMs) => {
		const until = performance.now() + spanMs;
		let served = 0;
		const read = async (host: number) => {
			const client = open(host, eastern);
			while (performance.now() < until) {
				const {result} = await client.query('READ pond');
				served += result.startsWith('COMPLETE') ? 1 : 0;
				await sleep(5);
			}
		};

		await Promise.all(deployment.hosts.flatMap((_, host) => [read(host), read(host), read(host)]));
		return served;
	};

	it('serve reads through every host in the allowed region only', async () => {
		const [western, middle] = deployment.instances;
		const before = [western, middle].map(instance => instance?.executedStatements().length);
		expect(await readEverywhere()).to.be.above(200);
		expect([western, middle].map(instance => instance?.executedStatements().length)).to.deep.equal(before);
	});

	it('refuse a write at once whose primary is outside of the allowed region', async () => {
		const startedAt = performance.now();
		const {result} = await open(0, 'own').query('WRITE pond v');
		expect(result).to.match(/^ERROR BUSY/v);
		expect(performance.now() - startedAt).to.be.below(500);
	});

	it('send a cold instance no more than its limit, all together, and serve with it again later', async () => {
		const [group] = deployment.groups;
		const instance = findEastern();
		const reading = readEverywhere();
		await group?.startAgain(instance, 300);
		const from = performance.now();
		const before = instance.executedStatements().length;
		await reading;
		expect(findMost(from)).to.be.at.most(allowed);
		expect(instance.executedStatements().length - before).to.be.above(limit.perSecond);
		await sleep(coldMs - readMs + 3000);
		expect(await readEverywhere()).to.be.above(200);
	});

	// Guards against a limit that is granted twice, by an allocator that is gone and its successor.
	it('send a cold instance no more than its limit while all hosts are killed one after the other', async () => {
		const [group] = deployment.groups;
		await group?.startAgain(findEastern(), 300);
		const from = performance.now();
		for (const index of deployment.hosts.keys()) {
			const reading = readEverywhere(800);
			await deployment.restart(index);
			await reading;
		}

		const most = findMost(from);
		expect(most).to.be.at.most(allowed);
	});
});
