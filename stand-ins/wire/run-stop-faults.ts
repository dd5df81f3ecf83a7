/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {findNewestPrimary} from './find-newest-primary.ts';
import {followProcess} from './follow-process.ts';
import type {SoakProcess} from './soak-process.ts';
import {waitForHolder} from './wait-for-holder.ts';
import type {WireDeployment} from './wire-deployment.ts';

type Options = {
	readonly deployment: WireDeployment;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	readonly isOver: () => boolean;
	/** All host processes of the run; the new ones are added. */
	readonly processes: SoakProcess[];
	/** Whether all hosts may stop at once; else two are left. */
	readonly isAllAtOnce: boolean;
	/** Whether stopping processes run at a third of their speed. */
	readonly hasSlowStops: boolean;
	readonly gracePeriodMs: number;
	/** Weight, beside those of the other faults, with which a host that runs a failover is stopped, killed or frozen. Defaults to 0. */
	readonly holderWeight?: number;
	/** Called with each event, for the report. */
	readonly onEvent: (event: string) => void;
	/** Called with each host that does not start. */
	readonly onFailure: (failure: string) => void;
};

/** A fault that can be drawn, and the weight with which it is. `run` resolves once all is as before, and returns undefined if it cannot happen now. */
type Fault = {readonly weight: number; readonly run: () => Promise<void> | undefined};

/** Hosts that are left while others stop or start, unless all may stop at once. */
const minServingCount = 2;

/** Milliseconds after the end of the grace period at which the process is killed; what ends by itself until then has ended too late. */
const killMarginMs = 1000;

/** Milliseconds after which a host that is started and not ready yet counts as failed. */
const startLimitMs = 20_000;

/** Bytes of the output of a host that did not start that are shown. */
const shownBytes = 1000;

/** Stops, signals, kills and restarts hosts, and changes the configuration and the primary, in series that overlap. Resolves once all hosts are ready again. */
export async function runStopFaults({
	deployment, random, isOver, processes, isAllAtOnce, hasSlowStops, gracePeriodMs, holderWeight = 0, onEvent, onFailure,
}: Options): Promise<void> {
	const {hosts} = deployment;
	const pick = (least: number, most: number) => least + Math.floor(random() * (most - least));
	const serving = new Set(hosts.keys());
	let changes = {hasThird: false, hasGuestRoute: false};
	let draining: {readonly promotionCount: number} | undefined;

	const findCurrent = (index: number) => processes.findLast(({host}) => host === hosts[index]);
	const takeServing = () => {
		const index = [...serving][pick(0, serving.size)];
		if (index === undefined || serving.size <= (isAllAtOnce ? 0 : Math.min(minServingCount, hosts.length - 1))) {
			return undefined;
		}

		serving.delete(index);
		return index;
	};

	const restart = async (index: number) => {
		await sleep(pick(0, 1500));
		onEvent(`start ${index + 1}`);
		try {
			await Promise.race([deployment.restart(index), rejectAfter(startLimitMs)]);
		} catch (error) {
			const written = hosts[index]?.output().slice(-shownBytes) ?? '';
			onFailure(`host-${index + 1} did not start: ${String(error)}; its last output: ${written}`);
			return;
		}

		const host = hosts[index];
		if (host !== undefined) {
			processes.push(followProcess(host));
		}

		onEvent(`ready ${index + 1}`);
		serving.add(index);
	};

	const signal = (index: number, name: NodeJS.Signals) => {
		onEvent(`${name} ${index + 1}`);
		findCurrent(index)?.send(name);
	};

	/** Sends signals to a stopping process, at moments after its first SIGTERM. */
	const disturb = async (index: number, names: readonly NodeJS.Signals[]) => {
		const current = findCurrent(index);
		for (const name of names) {
			await sleep(pick(5, 2500));
			if (current?.end() === undefined) {
				signal(index, name);
			}
		}
	};

	const stop = async (index: number) => {
		const current = findCurrent(index);
		const disturbances = [...pick(0, 3) === 0 ? Array.from({length: pick(1, 3)}, () => 'SIGTERM' as const) : [], ...pick(0, 4) === 0 ? ['SIGHUP' as const] : []];
		if (pick(0, 4) === 0) {
			signal(index, 'SIGHUP');
			await sleep(pick(0, 300));
		}

		signal(index, 'SIGTERM');
		if (hasSlowStops) {
			void current?.slowDown();
		}

		void disturb(index, disturbances);
		const killing = setTimeout(() => {
			signal(index, 'SIGKILL');
		}, gracePeriodMs + killMarginMs);
		await current?.ended;
		clearTimeout(killing);
		onEvent(`ended ${index + 1}`);
		await restart(index);
	};

	const kill = async (index: number) => {
		signal(index, 'SIGKILL');
		await findCurrent(index)?.ended;
		await restart(index);
	};

	const configure = async (change: Partial<typeof changes>) => {
		changes = {...changes, ...change};
		onEvent(`configure ${JSON.stringify(changes)}`);
		deployment.configure({keys: ['good', 'other', ...changes.hasThird ? ['third'] : []], hasGuestRoute: changes.hasGuestRoute});
	};

	const replacePrimary = async () => {
		const primary = findNewestPrimary(deployment.instances);
		const promotionCount = deployment.promotions().length;
		if (primary === undefined || draining?.promotionCount === promotionCount) {
			return undefined;
		}

		draining = {promotionCount};
		onEvent(`drain ${primary.id}`);
		deployment.drain(primary);
	};

	const takeAndRun = (run: (index: number) => Promise<void>) => async () => {
		const index = takeServing();
		return index === undefined ? undefined : run(index);
	};

	/** Takes a serving host that runs a failover, or has just run one. */
	const takeHolder = async () => {
		const index = await waitForHolder(deployment, {isAfter: pick(0, 3) === 0});
		if (index === undefined || !serving.has(index) || serving.size <= minServingCount) {
			return undefined;
		}

		serving.delete(index);
		return index;
	};

	const freeze = async (index: number) => {
		signal(index, 'SIGSTOP');
		await sleep(pick(300, 5000));
		signal(index, 'SIGCONT');
		serving.add(index);
	};

	const disturbHolder = async () => {
		const index = await takeHolder();
		if (index !== undefined) {
			onEvent(`the next host, ${index + 1}, runs a failover or has just run one`);
			await sleep(pick(0, 3) === 0 ? pick(0, 600) : 0);
			await [stop, kill, freeze][pick(0, 3)]?.(index);
		}
	};

	const stopAll = async () => {
		const indices = [...serving];
		serving.clear();
		await Promise.all(indices.map(async index => stop(index)));
	};

	const faults: readonly Fault[] = [
		{weight: isAllAtOnce ? 2 : 0, run: stopAll},
		{weight: 12, run: takeAndRun(stop)},
		{weight: 2, run: takeAndRun(kill)},
		{
			weight: 1,
			async run() {
				signal(pick(0, hosts.length), 'SIGHUP');
			},
		},
		{weight: 2, run: async () => configure({hasThird: !changes.hasThird})},
		{weight: 2, run: async () => configure({hasGuestRoute: !changes.hasGuestRoute})},
		{weight: 1, run: replacePrimary},
		{weight: holderWeight, run: disturbHolder},
	];
	const drawn = faults.flatMap(fault => Array.from({length: fault.weight}, () => fault));
	const running: Array<Promise<void>> = [];
	while (!isOver()) {
		const task = drawn[pick(0, drawn.length)]?.run();
		if (task === undefined) {
			await sleep(50);
		} else {
			running.push(task);
			await sleep(pick(300, 2500));
		}
	}

	await Promise.all(running);
}

async function rejectAfter(milliseconds: number): Promise<never> {
	await sleep(milliseconds);
	throw new Error(`It was not ready within ${milliseconds} ms`);
}
