import type {Stage} from './stage.ts';
import type {Step} from './step.ts';

/** Applies the faults of a step: signals to processes, cuts and repairs of links, faults of the stand-ins. */
export async function applyFault(stage: Stage, step: Step): Promise<void> {
	sendSignals(stage, step);
	changeLinks(stage, step);
	await commandStandIns(stage, step);
}

function sendSignals(stage: Stage, step: Step): void {
	const {cluster} = stage;
	const signals = {
		kill: 'SIGKILL', freeze: 'SIGSTOP', thaw: 'SIGCONT', terminate: 'SIGTERM',
	} as const;
	for (const name of ['kill', 'freeze', 'thaw', 'terminate'] as const) {
		const process = step[name];
		if (process !== undefined) {
			stage.transcript.add(`${name} ${process}`);
			cluster.child(process).signal(signals[name]);
		}
	}
}

function changeLinks(stage: Stage, step: Step): void {
	const {cluster} = stage;
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
		for (const from of stage.scenario.cluster.zones) {
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

async function commandStandIns({cluster, transcript}: Stage, {platform, answers, restart}: Step): Promise<void> {
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
