import {setTimeout as sleep} from 'node:timers/promises';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {runDrawnFaults} from './run-drawn-faults.ts';
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

type Member = {readonly group: InstanceGroup; readonly instance: InstanceStandIn};

/** Milliseconds for which instances or hosts of a zone stand still, or are cut off. */
const durationsMs = {freeze: {least: 300, most: 5000}, cut: {least: 500, most: 6000}, hostFreeze: {least: 100, most: 3500}};

/** Milliseconds by which the instances of a zone that are released differ. */
const releaseSpreadMs = 400;

/**
 * Disturbs whole availability zones, mostly the one in which most groups have their primary, so that the primaries of all
 * groups leave it at once and come back later: instances stand still, are cut off or released, hosts stand still or lose
 * the platform. Resolves once all is as before.
 */
export async function runZoneFaults({
	deployment, random, isOver, gapMs, onEvent,
}: Options): Promise<void> {
	const {groups, hosts, hostLinks, findZone} = deployment;
	const pick = (least: number, most: number) => least + Math.floor(random() * (most - least));
	const zones = [...new Set(hosts.map((_, index) => findZone(index)))];

	const listInstances = (zone: string): readonly Member[] => groups.flatMap(group => {
		const instance = group.instances[zones.indexOf(zone)];
		return instance === undefined ? [] : [{group, instance}];
	});

	const listHosts = (zone: string) => hosts.map((_, index) => index).filter(index => findZone(index) === zone);
	const countLeaders = (zone: string) => listInstances(zone).filter(({group, instance}) => group.leader() === instance).length;
	const pickZone = () => {
		const leading = zones.toSorted((zone, other) => countLeaders(other) - countLeaders(zone));
		return leading[pick(0, 3) > 0 ? 0 : pick(0, zones.length)] ?? '';
	};

	/** Disturbs a zone for a time. */
	const disturb = async (what: string, {least, most}: {readonly least: number; readonly most: number}, set: (zone: string, isDisturbed: boolean) => void) => {
		const zone = pickZone();
		onEvent(`${what} of zone ${zone}, which leads ${countLeaders(zone)} groups`);
		set(zone, true);
		await sleep(pick(least, most));
		set(zone, false);
		onEvent(`end of ${what} of zone ${zone}`);
	};

	const setInstancesFrozen = (zone: string, isFrozen: boolean) => {
		for (const {instance} of listInstances(zone)) {
			instance.setFrozen(isFrozen);
		}
	};

	const setInstancesCut = (zone: string, isCut: boolean) => {
		for (const {group, instance} of listInstances(zone)) {
			group.setCut(instance, isCut);
			group.links.get(instance)?.setFault({isPartitioned: isCut, heldBytes: undefined});
		}
	};

	const setHostsFrozen = (zone: string, isFrozen: boolean) => {
		for (const index of listHosts(zone)) {
			hosts[index]?.process.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
		}
	};

	const setHostsCut = (zone: string, isCut: boolean) => {
		for (const index of listHosts(zone)) {
			hostLinks[index]?.store.setFault({isPartitioned: isCut, heldBytes: undefined});
			hostLinks[index]?.cloudApi.setFault({isPartitioned: isCut, heldBytes: undefined});
		}
	};

	const setZoneCut = (zone: string, isCut: boolean) => {
		setInstancesCut(zone, isCut);
		setHostsCut(zone, isCut);
	};

	const releaseZone = async () => {
		const zone = pickZone();
		const leading = listInstances(zone).filter(({group, instance}) => group.leader() === instance && !instance.isDown());
		onEvent(`release of zone ${zone}: ${leading.map(({instance}) => instance.id).join(', ')}`);
		await Promise.all(leading.map(async ({group, instance}) => {
			await sleep(pick(0, releaseSpreadMs));
			await runRelease(group, instance, {stayMs: pick(0, 4000), awayMs: pick(200, 1500)});
		}));
		onEvent(`end of release of zone ${zone}`);
	};

	/** Releases the primaries of a zone that do not reach the other instances and so do not learn that they were replaced, except from a host. */
	const releaseCutZone = async () => {
		const zone = pickZone();
		const members = listInstances(zone).filter(({group, instance}) => group.leader() === instance && !instance.isDown());
		onEvent(`release and cut among instances of zone ${zone}: ${members.map(({instance}) => instance.id).join(', ')}`);
		for (const {group, instance} of members) {
			group.setCut(instance, true);
			group.drain(instance);
		}

		await sleep(pick(durationsMs.cut.least, durationsMs.cut.most));
		for (const {group, instance} of members) {
			group.setCut(instance, false);
			group.listAsReady(instance);
		}

		onEvent(`end of release and cut among instances of zone ${zone}`);
	};

	await runDrawnFaults({
		pick, isOver, gapMs,
		faults: [
			{weight: 3, run: async () => disturb('freeze of instances', durationsMs.freeze, setInstancesFrozen)},
			{weight: 3, run: async () => disturb('cut of instances', durationsMs.cut, setInstancesCut)},
			{weight: 2, run: async () => disturb('freeze of hosts', durationsMs.hostFreeze, setHostsFrozen)},
			{weight: 2, run: async () => disturb('cut of hosts', durationsMs.cut, setHostsCut)},
			{weight: 2, run: async () => disturb('cut', durationsMs.cut, setZoneCut)},
			{weight: 3, run: releaseZone},
			{weight: 4, run: releaseCutZone},
		],
	});
}
