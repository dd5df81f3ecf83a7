/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {readGroupRow} from './read-group-row.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import {waitForOtherPrimary} from './wait-for-other-primary.ts';
import type {WireDeployment} from './wire-deployment.ts';
import {repeatItemWrite} from './repeat-item-write.ts';

/**
 * Milliseconds after the fence for which the third instance refuses to tell its status: until the leases of the lost host are
 * over, and a little longer.
 */
const refusedMs = 2700;

/** Milliseconds within which the hosts must serve writes again. */
const recoveryLimitMs = 8000;

/** Milliseconds after which all instances can have reached each other and have stepped down. */
const settleMs = 2500;

/** Milliseconds between the order that promotes the earlier primary and its effect. */
const latePromotionMs = 900;

/** Milliseconds after this order at which the earlier primary learns that it was replaced. */
const reachedMs = 400;

describe('an earlier primary that has not learned that it was replaced', () => {
	let deployment: WireDeployment;

	beforeEach(async () => {
		deployment = await startWireDeployment({hostCount: 4, lag: 40});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	afterEach(() => {
		deployment.stop();
	});

	const group = () => {
		const [first] = deployment.groups;
		if (first === undefined) {
			throw new Error('The deployment has no group');
		}

		return first;
	};

	const readRow = () => readGroupRow(deployment.store, group().name);

	/** Kills the host that ran the failover, which would tell the earlier primary to step down; returns the port of another one. */
	const loseHolder = () => {
		const holder = readRow()?.holder;
		deployment.hosts.find(({name}) => name === holder)?.process.kill('SIGKILL');
		return deployment.hosts.find(({name}) => name !== holder)?.port ?? 0;
	};

	const waitForPrimary = async (other: InstanceStandIn) => {
		const primary = await waitForOtherPrimary(deployment.store, {group: group().name, primary: other.id, limitMs: recoveryLimitMs});
		return deployment.instances.find(({id}) => id === primary);
	};

	/** Lists the acknowledged items that are gone without a promotion that rolled them back, or that were committed behind one. */
	const listWrongItems = (acknowledged: readonly string[]) => {
		const records = new Map(group().commits().flatMap(record => record.entry.writes.map(([item]) => [item, record] as const)));
		const kept = new Set(group().leader().log().flatMap(({writes}) => writes.map(([item]) => item)));
		return acknowledged.filter(item => records.get(item)?.isBehindPromotion === true || (!kept.has(item) && records.get(item)?.isRolledBack !== true));
	};

	const waitForFence = async () => {
		while (readRow()?.state !== 'fencing') {
			await sleep(20);
		}
	};

	// Guards against commits at an earlier primary: it acknowledges them, and rolls them back once it reaches the present one.
	it('is not used again while the present primary is silent and the third instance is busy', async () => {
		const first = group().leader();
		const [writer] = deployment.hosts;
		await repeatItemWrite({port: writer?.port ?? 0, name: 'first', limitMs: recoveryLimitMs});
		group().setCut(first, true);
		first.setFrozen(true);
		const second = await waitForPrimary(first);
		const port = loseHolder();
		const kept = await repeatItemWrite({port, name: 'kept', limitMs: recoveryLimitMs});
		await sleep(300);
		const third = deployment.instances.find(instance => instance !== first && instance !== second);
		third?.setStatusRefused(true);
		second?.setFrozen(true);
		first.setFrozen(false);
		const answering = waitForFence().then(async () => { // eslint-disable-line promise/prefer-await-to-then -- goes on beside the writes
			await sleep(refusedMs);
			third?.setStatusRefused(false);
		});
		const later = await repeatItemWrite({port, name: 'later', limitMs: recoveryLimitMs});
		await answering;
		second?.setFrozen(false);
		group().setCut(first, false);
		await sleep(settleMs);
		const last = await repeatItemWrite({port, name: 'last', limitMs: recoveryLimitMs});
		const acknowledged = [kept, later, last];
		expect(listWrongItems(acknowledged)).to.deep.equal([]);
		for (const item of acknowledged) {
			const {rows} = await sendStatement({port, database: 'latest', text: `READ ${item}`});
			expect(rows, item).to.deep.equal([`of-${item}`]);
		}
	});

	// Guards against commits at an earlier primary that is to lead again: it may step down, and roll them back, before its promotion takes effect.
	it('is not used as the successor of a silent primary before its promotion takes effect', async () => {
		const first = group().leader();
		const [writer] = deployment.hosts;
		await repeatItemWrite({port: writer?.port ?? 0, name: 'first', limitMs: recoveryLimitMs});
		group().setCut(first, true);
		group().drain(first);
		while (deployment.promotions().length === 0) {
			await sleep(10);
		}

		first.stopAnswering();
		const second = await waitForPrimary(first);
		group().drain(first);
		const port = loseHolder();
		deployment.setPromotionDelay(latePromotionMs);
		const third = deployment.instances.find(instance => instance !== first && instance !== second);
		third?.setStatusRefused(true);
		second?.stopAnswering();
		first.answerAgain();
		const acknowledged: string[] = [];
		const startedAt = performance.now();
		let orderedAt = Number.POSITIVE_INFINITY;
		while (performance.now() < Math.min(startedAt + recoveryLimitMs, orderedAt + (2 * latePromotionMs))) {
			const isOrdered = deployment.promotions().length > 1;
			orderedAt = isOrdered ? Math.min(orderedAt, performance.now()) : orderedAt;
			if (performance.now() > orderedAt + reachedMs) {
				// The request to step down of the lost host arrives, and the earlier primary reaches the present one again.
				first.stepDown(2);
				group().setCut(first, false);
				second?.answerAgain();
			}

			const item = `item-${acknowledged.length}-${Math.round(performance.now())}`;
			const {result} = await sendStatement({port, database: 'latest', text: `WRITE ${item} of-${item}`});
			acknowledged.push(...result.startsWith('COMPLETE') ? [item] : []);
			await sleep(20);
		}

		third?.setStatusRefused(false);
		acknowledged.push(await repeatItemWrite({port, name: 'last', limitMs: recoveryLimitMs}));
		expect(listWrongItems(acknowledged)).to.deep.equal([]);
		expect(deployment.promotions().map(({id}) => id)).to.deep.equal([second?.id, first.id]);
	});
});
