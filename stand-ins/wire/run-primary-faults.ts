/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {runRelease} from './run-release.ts';
import type {WireDeployment} from './wire-deployment.ts';

type Options = {
	readonly deployment: WireDeployment;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	readonly isOver: () => boolean;
	/** Milliseconds between two faults. */
	readonly gapMs: {readonly least: number; readonly most: number};
	/** Called with each event, for the report. */
	readonly onEvent: (event: string) => void;
};

/** A fault that can be drawn, and the weight with which it is. */
type Fault = {readonly weight: number; readonly run: (group: InstanceGroup) => Promise<void>};

/** Milliseconds after which a replica usually applies a commit. */
const usualLagMs = 60;

/** Milliseconds between an accepted promotion and its effect, at most. */
const maxPromotionDelayMs = 900;

/**
 * Lets instances of all groups depart, crash, stand still, lose each other and fall behind, primaries before all, and lets
 * hosts stand still, in series that overlap. Resolves once all is as before.
 */
export async function runPrimaryFaults({
	deployment, random, isOver, gapMs, onEvent,
}: Options): Promise<void> {
	const {groups, hosts} = deployment;
	const pick = (least: number, most: number) => least + Math.floor(random() * (most - least));
	/** Instances that are disturbed already. */
	const disturbed = new Set<InstanceStandIn>();

	/** Disturbs an instance, unless it is disturbed already. */
	const disturb = async (instance: InstanceStandIn | undefined, name: string, run: (instance: InstanceStandIn) => Promise<void>) => {
		if (instance === undefined || disturbed.has(instance)) {
			return;
		}

		disturbed.add(instance);
		onEvent(`${name} ${instance.id}`);
		await run(instance);
		disturbed.delete(instance);
		onEvent(`end of ${name} ${instance.id}`);
	};

	const pickInstance = ({instances}: InstanceGroup) => instances[pick(0, instances.length)];

	const release = async (group: InstanceGroup) => disturb(group.leader(), 'release', async instance => runRelease(group, instance, {stayMs: pick(0, 4000), awayMs: pick(200, 1500)}));

	const crash = async (group: InstanceGroup, instance: InstanceStandIn | undefined) => disturb(instance, 'crash', async crashed => group.crash(crashed, pick(300, 6000)));

	/** Lets an instance that does not lead start again without its log. */
	const startAgain = async (group: InstanceGroup) => {
		const replica = group.instances.find(instance => instance !== group.leader() && instance.role() === 'replica' && pick(0, 2) === 0);
		return disturb(replica, 'start without a log', async instance => group.startAgain(instance, pick(300, 3000)));
	};

	const freeze = async (group: InstanceGroup) => disturb(group.leader(), 'freeze', async instance => {
		instance.setFrozen(true);
		await sleep(pick(300, 5000));
		instance.setFrozen(false);
	});

	const cut = async (group: InstanceGroup) => disturb(group.leader(), 'cut', async instance => {
		group.setCut(instance, true);
		await sleep(pick(500, 6000));
		group.setCut(instance, false);
	});

	const refuseStatus = async (group: InstanceGroup) => disturb(pickInstance(group), 'refuse status', async instance => {
		instance.setStatusRefused(true);
		await sleep(pick(500, 4000));
		instance.setStatusRefused(false);
	});

	const delayReplica = async (group: InstanceGroup) => disturb(pickInstance(group), 'delay', async instance => {
		instance.setLag(usualLagMs * pick(10, 80));
		await sleep(pick(1000, 5000));
		instance.setLag(usualLagMs);
	});

	const freezeHost = async () => {
		const host = hosts[pick(0, hosts.length)];
		if (host !== undefined) {
			onEvent(`freeze ${host.name}`);
			host.process.kill('SIGSTOP');
			await sleep(pick(100, 3500));
			host.process.kill('SIGCONT');
			onEvent(`end of freeze ${host.name}`);
		}
	};

	const delayPromotions = async () => {
		const delay = pick(50, maxPromotionDelayMs);
		onEvent(`promotions take ${delay} ms`);
		deployment.setPromotionDelay(delay);
	};

	const faults: readonly Fault[] = [
		{weight: 4, run: release},
		{weight: 2, run: async group => crash(group, group.leader())},
		{weight: 2, run: async group => crash(group, pickInstance(group))},
		{weight: 4, run: freeze},
		{weight: 3, run: cut},
		{weight: 3, run: refuseStatus},
		{weight: 2, run: delayReplica},
		{weight: 2, run: freezeHost},
		{weight: 1, run: delayPromotions},
		{weight: 2, run: startAgain},
	];
	const drawn = faults.flatMap(fault => Array.from({length: fault.weight}, () => fault));
	const running: Array<Promise<void>> = [];
	while (!isOver()) {
		const group = groups[pick(0, groups.length)];
		const fault = drawn[pick(0, drawn.length)];
		if (group !== undefined && fault !== undefined) {
			running.push(fault.run(group));
		}

		await sleep(pick(gapMs.least, gapMs.most));
	}

	await Promise.all(running);
}
