/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';
import {writeItem} from './write-item.ts';

type Row = {readonly state: string; readonly primary: string; readonly holder: string};

/**
 * Milliseconds after the fence for which the third instance refuses to tell its status: until the leases of the lost host are
 * over, and a little longer.
 */
const refusedMs = 2700;

/** Milliseconds within which the hosts must serve writes again. */
const recoveryLimitMs = 8000;

/** Milliseconds after which all instances can have reached each other and have stepped down. */
const settleMs = 2500;

describe('an earlier primary that has not learned that it was replaced', () => {
	let deployment: WireDeployment;

	before(async () => {
		deployment = await startWireDeployment({hostCount: 4, lag: 40});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	after(() => {
		deployment.stop();
	});

	const readRow = () => deployment.store.read('sapphirefall', 'group/pondbook') as Row;

	const waitForPrimary = async (other: InstanceStandIn) => {
		const until = performance.now() + recoveryLimitMs;
		while (performance.now() < until && (readRow().state !== 'serving' || readRow().primary === other.id)) {
			await sleep(20);
		}

		return deployment.instances.find(({id}) => id === readRow().primary);
	};

	const waitForFence = async () => {
		while (readRow().state !== 'fencing') {
			await sleep(20);
		}
	};

	// Guards against commits at an earlier primary: it acknowledges them, and rolls them back once it reaches the present one.
	it('is not used again while the present primary is silent and the third instance is busy', async () => {
		const [group] = deployment.groups;
		const [first] = deployment.instances;
		expect(first?.role()).to.equal('primary');
		if (first === undefined || group === undefined) {
			return;
		}

		const [writer] = deployment.hosts;
		await writeItem({port: writer?.port ?? 0, name: 'first', limitMs: recoveryLimitMs});
		group.setCut(first, true);
		first.setFrozen(true);
		const second = await waitForPrimary(first);
		const {holder} = readRow();
		// The host that would tell the earlier primary to step down is lost.
		deployment.hosts.find(({name}) => name === holder)?.process.kill('SIGKILL');
		const {port = 0} = deployment.hosts.find(({name}) => name !== holder) ?? {};
		const kept = await writeItem({port, name: 'kept', limitMs: recoveryLimitMs});
		await sleep(300);
		const third = deployment.instances.find(instance => instance !== first && instance !== second);
		third?.setStatusRefused(true);
		second?.setFrozen(true);
		first.setFrozen(false);
		const answering = waitForFence().then(async () => { // eslint-disable-line promise/prefer-await-to-then -- goes on beside the writes
			await sleep(refusedMs);
			third?.setStatusRefused(false);
		});
		const later = await writeItem({port, name: 'later', limitMs: recoveryLimitMs});
		await answering;
		second?.setFrozen(false);
		group.setCut(first, false);
		await sleep(settleMs);
		const last = await writeItem({port, name: 'last', limitMs: recoveryLimitMs});
		const acknowledged = [kept, later, last];
		const behind = new Set(group.commits().filter(({isBehindPromotion}) => isBehindPromotion).flatMap(({entry}) => entry.writes.map(([item]) => item)));
		expect(acknowledged.filter(item => behind.has(item))).to.deep.equal([]);
		for (const item of acknowledged) {
			const {rows} = await sendStatement({port, database: 'latest', text: `READ ${item}`});
			expect(rows, item).to.deep.equal([`of-${item}`]);
		}
	});
});
