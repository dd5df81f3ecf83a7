import process from 'node:process';
import {startWireDeployment} from './stand-ins.mjs';

/** Largest memory of a machine of the small deployments, in the unit of the settings. */
export const memoryMegabytes = 350;

/** Starts a deployment whose hosts run the program that the deploy file builds, by its command. */
export async function startDeployment(options, {record, onEnd}) {
	const deployment = await startWireDeployment({
		gracePeriodSeconds: 6,
		...options,
		checkout: process.cwd(),
		program: 'target/sapphirefall.cjs',
		nodeArguments: ['--max-old-space-size=200'],
		settings: [
			`limits.memory_mb=${memoryMegabytes}`,
			'limits.max_fds=4200',
			'limits.cpu_share=0.675',
			'limits.cpu_cores=1',
			'limits.bandwidth_mbps=1000.0',
			'bounds.stability_ms=4000',
			'bounds.ack_ms=5000',
			'bounds.drain_ms=7000',
			'bounds.revoke_strict=true',
			'bounds.require_fencing=false',
			'bounds.unfreeze_ms=300',
			...options.settings ?? [],
		],
	});
	onEnd(deployment.stop);
	await deployment.waitUntilReady();
	record(`${deployment.hosts.length} hosts are ready`);
	return deployment;
}
