/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {readGroupRow} from './read-group-row.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds after which the first promotion takes effect, and after which all further ones do. */
const promotionDelaysMs = {first: 1300, further: 50};

/** Milliseconds within which the hosts must serve writes again. */
const recoveryLimitMs = 9000;

/** Milliseconds for which writes go on after the first one was acknowledged. */
const writingMs = 2000;

/** Milliseconds after which all instances can have reached each other and have stepped down. */
const settleMs = 2500;

describe('a promotion that takes effect late', () => {
	let deployment: WireDeployment;

	before(async () => {
		deployment = await startWireDeployment({hostCount: 4, lag: 40});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	after(() => {
		deployment.stop();
	});

	/** Writes items, one after another, until a while after the first one was acknowledged; returns those that were. */
	const writeItems = async () => {
		const acknowledged: string[] = [];
		let until = performance.now() + recoveryLimitMs;
		for (let attempt = 0; performance.now() < until; attempt++) {
			const item = `late-${attempt}`;
			const {result} = await sendStatement({port: deployment.hosts[0]?.port ?? 0, text: `WRITE ${item} of-${item}`});
			if (result.startsWith('COMPLETE')) {
				until = acknowledged.length === 0 ? performance.now() + writingMs : until;
				acknowledged.push(item);
			}

			await sleep(20);
		}

		return acknowledged;
	};

	// Guards against a primary that no host knows of: the first instance that was ordered to lead, after another one was stored.
	it('leaves no acknowledged commit behind when the instance gave no status meanwhile and another one was promoted', async () => {
		const [group] = deployment.groups;
		const first = group?.leader();
		if (group === undefined || first === undefined) {
			throw new Error('The deployment has no group');
		}

		deployment.setPromotionDelay(promotionDelaysMs.first);
		first.setFrozen(true);
		while (deployment.promotions().length === 0) {
			await sleep(5);
		}

		deployment.setPromotionDelay(promotionDelaysMs.further);
		const ordered = group.instances.find(({id}) => id === deployment.promotions()[0]?.id);
		ordered?.setStatusRefused(true);
		const acknowledged = await writeItems();
		ordered?.setStatusRefused(false);
		first.setFrozen(false);
		await sleep(settleMs);
		expect(acknowledged.length).to.be.above(0);
		const behind = new Set(group.commits().filter(({isBehindPromotion}) => isBehindPromotion).flatMap(({entry}) => entry.writes.map(([item]) => item)));
		expect(acknowledged.filter(item => behind.has(item))).to.deep.equal([]);
		expect(group.leader().id).to.equal(readGroupRow(deployment.store, group.name)?.primary);
	});
});
