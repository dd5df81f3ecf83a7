import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';

/** Applies the faults of a step: signals to processes, cut or restored connections, and faults of the simulated platform and instances. */
export async function applyFault(context: ScenarioContext, step: Step): Promise<void> {
	sendSignals(context, step);
	changeConnections(context, step);
	await configureStandIns(context, step);
}

function sendSignals(context: ScenarioContext, step: Step): void {
	const {cluster} = context;
	const signals = {
		kill: 'SIGKILL', freeze: 'SIGSTOP', thaw: 'SIGCONT', terminate: 'SIGTERM',
	} as const;
	for (const name of ['kill', 'freeze', 'thaw', 'terminate'] as const) {
		const process = step[name];
		if (process !== undefined) {
			context.transcript.add(`${name} ${process}`);
			cluster.child(process).signal(signals[name]);
		}
	}
}

function changeConnections(context: ScenarioContext, step: Step): void {
	const {cluster} = context;
	if (step.cut !== undefined) {
		for (const from of step.cut.from) {
			for (const to of step.cut.to) {
				cluster.setFault(from, to, {isPartitioned: true});
			}
		}
	}

	if (step.partition !== undefined) {
		const {zone, platform} = step.partition;
		cluster.setZonePartitioned(zone, true);
		if (platform) {
			cluster.setFault(zone, 'platform', {isPartitioned: true});
		}
	}

	if (step.heal === true) {
		for (const from of context.scenario.cluster.zones) {
			for (const process of [...cluster.hosts, ...cluster.instances, 'platform']) {
				cluster.setFault(from, process, {isPartitioned: false});
			}
		}
	}

	if (step.mute !== undefined) {
		cluster.muteLink(step.mute.from, step.mute.to);
	}

	if (step.reset !== undefined) {
		cluster.resetLink(step.reset.from, step.reset.to);
	}
}

async function configureStandIns({cluster, transcript}: ScenarioContext, {platform, answers, restart}: Step): Promise<void> {
	if (restart !== undefined) {
		transcript.add(`restart ${restart}`);
		await cluster.child(restart).exited;
		cluster.restart(restart);
	}

	if (platform !== undefined) {
		const {delay, ...others} = platform;
		await cluster.platform.setFault({
			...others, delayMs: delay,
		});
	}

	if (answers !== undefined) {
		const {instance, delay, ...others} = answers;
		await cluster.endpoint(instance).setFault({delayMs: delay, ...others});
	}
}
