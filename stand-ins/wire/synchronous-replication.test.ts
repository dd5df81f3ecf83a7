import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {usualLinkFault} from '../links/usual-link-fault.ts';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {sendItemWrites} from './send-item-writes.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import {waitForOtherPrimary} from './wait-for-other-primary.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds for which the replica with all commits does not tell its status. */
const unknownMs = 2500;

const writeCount = 5;

/** Milliseconds within which a failover ends once the replica tells its status. */
const failoverLimitMs = 12_000;

type Trouble = {readonly group: InstanceGroup; readonly replica: InstanceStandIn};

const cases: ReadonlyArray<{readonly name: string; readonly begin: (trouble: Trouble) => void; readonly end: (trouble: Trouble) => void}> = [
	{
		name: 'is busy',
		begin({replica}) {
			replica.setStatusRefused(true);
		},
		end({replica}) {
			replica.setStatusRefused(false);
		},
	},
	{
		name: 'stands still',
		begin({replica}) {
			replica.setFrozen(true);
		},
		end({replica}) {
			replica.setFrozen(false);
		},
	},
	{
		name: 'cannot be reached',
		begin({group, replica}) {
			group.links.get(replica)?.setFault({...usualLinkFault, isPartitioned: true});
		},
		end({group, replica}) {
			group.links.get(replica)?.setFault(usualLinkFault);
		},
	},
	{
		name: 'is reached over a slow link',
		begin({group, replica}) {
			group.links.get(replica)?.setFault({...usualLinkFault, delayMs: 300});
		},
		end: () => undefined,
	},
	{
		name: 'crashes as well and comes back with its log',
		begin({group, replica}) {
			void group.crash(replica, unknownMs);
		},
		end: () => undefined,
	},
	{
		name: 'is departing',
		begin({group, replica}) {
			group.drain(replica);
		},
		end: () => undefined,
	},
];

describe('a primary with synchronous replicas that crashes while one of them receives nothing', () => {
	let deployment: WireDeployment;

	beforeEach(async () => {
		deployment = await startWireDeployment({
			hostCount: 3, lag: 20, hasLinks: true, isSynchronous: true,
		});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	afterEach(() => {
		deployment.stop();
	});

	const writeItems = async () => sendItemWrites({port: deployment.hosts[0]?.port ?? 0, count: writeCount});

	/** Lets the primary crash when only one replica, which is in trouble, has the commits; returns what was promoted. */
	const replaceCrashedPrimary = async ({begin, end}: (typeof cases)[number]) => {
		const [group] = deployment.groups;
		const [primary, replica, deaf] = deployment.instances;
		if (group === undefined || primary === undefined || replica === undefined || deaf === undefined) {
			throw new Error('The deployment has no group of three instances');
		}

		group.setCut(deaf, true);
		const acknowledged = await writeItems();
		expect(acknowledged).to.have.length(writeCount);
		begin({group, replica});
		setTimeout(end, unknownMs, {group, replica});
		void group.crash(primary, 2 * failoverLimitMs);
		const successor = await waitForOtherPrimary(deployment.store, {group: group.name, primary: primary.id, limitMs: failoverLimitMs});
		const promoted = deployment.instances.find(({id}) => id === successor);
		const kept = new Set(promoted?.log().flatMap(({writes}) => writes.map(([item]) => item)));
		return {isReplica: promoted === replica, lost: acknowledged.filter(item => !kept.has(item))};
	};

	for (const trouble of cases) {
		// Guards against the promotion of a replica without acknowledged commits while the one that has them does not tell its status (review/6).
		it(`is replaced by the other one, which has all acknowledged commits, also if that ${trouble.name}`, async () => {
			expect(await replaceCrashedPrimary(trouble)).to.deep.equal({isReplica: true, lost: []});
		});
	}
});
