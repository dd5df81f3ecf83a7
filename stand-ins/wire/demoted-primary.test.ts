/* eslint-disable no-await-in-loop -- attempts run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {repeatItemWrite} from './repeat-item-write.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds within which the hosts must serve writes again, as after any other failover. */
const recoveryLimitMs = 8000;

/** Milliseconds after which a primary that was replaced has stepped down by itself. */
const stepDownMs = 1300;

describe('a primary that is replaced without a failover of the hosts', () => {
	let deployment: WireDeployment;

	before(async () => {
		deployment = await startWireDeployment({hostCount: 3, lag: 40});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	after(() => {
		deployment.stop();
	});

	/** Reads an item until a read is served. */
	const readItem = async (port: number, item: string) => {
		const until = performance.now() + recoveryLimitMs;
		while (performance.now() < until) {
			const answer = await sendStatement({port, database: 'latest', text: `READ ${item}`});
			if (answer.result.startsWith('COMPLETE')) {
				return answer;
			}

			await sleep(50);
		}

		throw new Error(`No read of "${item}" was served for ${recoveryLimitMs} ms`);
	};

	// Guards against hosts that stay with a replica as their primary for ever: it refuses all writes, and reads at it miss commits.
	it('is replaced by the instance that leads, and reads see what is acknowledged there', async () => {
		const [group] = deployment.groups;
		const [{port = 0} = {}] = deployment.hosts;
		const first = await repeatItemWrite({port, name: 'first', limitMs: recoveryLimitMs});
		await sleep(300);
		const successor = deployment.instances.find(instance => instance !== group?.leader());
		group?.promote(successor?.id ?? '');
		await sleep(stepDownMs);
		const later = await repeatItemWrite({port, name: 'later', limitMs: recoveryLimitMs});
		const behind = group?.commits().filter(({isBehindPromotion}) => isBehindPromotion);
		expect(behind).to.deep.equal([]);
		for (const host of deployment.hosts) {
			for (const item of [first, later]) {
				const {rows} = await readItem(host.port, item);
				expect(rows, `${item} at ${host.name}`).to.deep.equal([`of-${item}`]);
			}
		}
	});
});
