import {setTimeout as sleep} from 'node:timers/promises';
import {
	runLoad, summarizeLoad, type LoadPlan, type LoadSummary,
} from '@sapphirefall/load';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {Deployment} from './deployment.ts';

type Phase = {
	readonly seed: number;
	/** Length of the phase, in milliseconds. */
	readonly duration: number;
	/** Causes a fault after a quarter of the phase. */
	readonly fail: (cluster: Cluster) => Promise<void> | void;
	/** Repairs the fault after three quarters of the phase. */
	readonly repair: (cluster: Cluster) => Promise<void> | void;
	/** Changes the workspaces' load. */
	readonly change?: (workspaces: Deployment['workspaces']) => Deployment['workspaces'];
	/** Hosts that callers send requests to; all if absent. */
	readonly targets?: readonly string[];
};

/** Runs one phase of a benchmark against a running deployment. */
export async function runPhase(
	cluster: Cluster,
	options: {readonly deployment: Deployment; readonly phase: Phase},
): Promise<LoadSummary> {
	const {deployment, phase} = options;
	const workspaces = phase.change?.(deployment.workspaces) ?? deployment.workspaces;
	const plan: LoadPlan = {
		targets: (phase.targets ?? cluster.hosts).map(host => cluster.callerUrl(host)),
		seed: phase.seed,
		duration: phase.duration,
		deadline: 4000,
		costs: {
			write: 4, latest: 4, session: 2, within: 1,
		},
		workspaces,
	};
	const failing = (async () => {
		await sleep(phase.duration / 4);
		await phase.fail(cluster);
		await sleep(phase.duration / 2);
		await phase.repair(cluster);
	})();
	const history = await runLoad(plan, {now: () => performance.now(), onProgress: () => undefined});
	await failing;
	return summarizeLoad(plan, history);
}
