import {setTimeout as sleep} from 'node:timers/promises';
import type {Link} from '../links/link.ts';
import {usualLinkFault} from '../links/usual-link-fault.ts';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {runDrawnFaults} from './run-drawn-faults.ts';
import {waitForHolder} from './wait-for-holder.ts';
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

type NamedLink = {readonly name: string; readonly link: Link};

/** Milliseconds for which a link holds bytes. */
const heldMs = {least: 200, most: 6000};

/** Milliseconds for which the link of a host is held that runs a failover; another host takes a failover over after 5 s. */
const heldFromHolderMs = {least: 5000, most: 12_000};

/** Milliseconds between two looks at who leads. */
const pollMs = 50;

/** Milliseconds for which a link is slow, and by which it is, at least and at most. */
const slow = {durationMs: {least: 500, most: 6000}, delayMs: {least: 30, most: 700}};

/** Lets the links between hosts and instances, the store and the cloud API hold bytes up, be slow, and be reset, in series that overlap. Resolves once all is as before. */
export async function runLinkFaults({
	deployment, random, isOver, gapMs, onEvent,
}: Options): Promise<void> {
	const {groups, hosts, hostLinks} = deployment;
	const pick = (least: number, most: number) => least + Math.floor(random() * (most - least));
	const disturbed = new Set<Link>();

	const pickInstanceLink = (): NamedLink | undefined => {
		const group = groups[pick(0, groups.length)];
		const instance = pick(0, 3) > 0 ? group?.leader() : group?.instances[pick(0, group.instances.length)];
		const link = instance === undefined ? undefined : group?.links.get(instance);
		return instance === undefined || link === undefined ? undefined : {name: `${instance.id}`, link};
	};

	const pickPlatformLink = (): NamedLink | undefined => {
		const index = pick(0, hostLinks.length);
		const links = hostLinks[index];
		if (links === undefined) {
			return undefined;
		}

		const name = hosts[index]?.name ?? '';
		return pick(0, 2) === 0 ? {name: `${name} to the store`, link: links.store} : {name: `${name} to the cloud API`, link: links.cloudApi};
	};

	/** Disturbs a link, unless it is disturbed already. */
	const disturb = async (named: NamedLink | undefined, what: string, run: (link: Link) => Promise<void>) => {
		if (named === undefined || disturbed.has(named.link)) {
			return;
		}

		disturbed.add(named.link);
		onEvent(`${what}: link ${named.name}`);
		await run(named.link);
		named.link.setFault(usualLinkFault);
		disturbed.delete(named.link);
		onEvent(`end of ${what}: link ${named.name}`);
	};

	const hold = async (named: NamedLink | undefined, heldBytes: 'requests' | 'answers' | undefined, {least, most} = heldMs) => disturb(named, `hold ${heldBytes ?? 'both'}`, async link => {
		link.setFault({isPartitioned: true, heldBytes});
		await sleep(pick(least, most));
	});

	const slowDown = async (named: NamedLink | undefined) => disturb(named, 'slow', async link => {
		const delayMs = pick(slow.delayMs.least, slow.delayMs.most);
		link.setFault({delayMs, jitterMs: delayMs, lossRate: 0.1});
		await sleep(pick(slow.durationMs.least, slow.durationMs.most));
	});

	/** Releases the instances that become primaries, for a time, so that an order that is held for them is overtaken. */
	const releaseNewLeaders = async (durationMs: number) => {
		const until = performance.now() + durationMs;
		const before = groups.map(group => group.leader());
		const released = new Map<InstanceStandIn, InstanceGroup>();
		while (performance.now() < until) {
			for (const [index, group] of groups.entries()) {
				const leader = group.leader();
				if (leader !== before[index] && !released.has(leader) && [...released.values()].every(other => other !== group)) {
					released.set(leader, group);
					onEvent(`release ${leader.id}, which has just been promoted`);
					group.drain(leader);
				}
			}

			await sleep(pollMs); // eslint-disable-line no-await-in-loop -- looks run in sequence
		}

		for (const [instance, group] of released) {
			group.listAsReady(instance);
		}
	};

	/** Holds what a host that runs a failover sends to the cloud API or to the store, as a promotion order or the new primary. */
	const holdFromHolder = async () => {
		const index = await waitForHolder(deployment, {isAfter: false});
		const links = index === undefined ? undefined : hostLinks[index];
		if (index !== undefined && links !== undefined) {
			const [what, link] = pick(0, 4) > 0 ? ['cloud API', links.cloudApi] as const : ['store', links.store] as const;
			const releasing = pick(0, 4) > 0 ? releaseNewLeaders(heldFromHolderMs.most) : undefined;
			await hold({name: `${hosts[index]?.name ?? ''}, which runs a failover, to the ${what}`, link}, pick(0, 4) > 0 ? 'requests' : 'answers', heldFromHolderMs);
			await releasing;
		}
	};

	const reset = async (named: NamedLink | undefined) => disturb(named, 'reset', async link => {
		link.reset();
	});

	await runDrawnFaults({
		pick, isOver, gapMs,
		faults: [
			{weight: 3, run: async () => hold(pickInstanceLink(), 'requests')},
			{weight: 2, run: async () => hold(pickInstanceLink(), 'answers')},
			{weight: 2, run: async () => hold(pickInstanceLink(), undefined)},
			{weight: 2, run: async () => slowDown(pickInstanceLink())},
			{weight: 1, run: async () => reset(pickInstanceLink())},
			{weight: 2, run: async () => hold(pickPlatformLink(), 'requests')},
			{weight: 2, run: async () => hold(pickPlatformLink(), 'answers')},
			{weight: 1, run: async () => hold(pickPlatformLink(), undefined)},
			{weight: 2, run: async () => slowDown(pickPlatformLink())},
			{weight: 1, run: async () => reset(pickPlatformLink())},
			{weight: 4, run: holdFromHolder},
		],
	});
}
