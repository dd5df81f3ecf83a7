import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';

/** Interval between two reads of a host's status, in milliseconds. */
const pollIntervalMs = 20;

/** Waits as a step says: for a time, for the status of hosts, or for the exit of a process. */
export async function waitFor(context: ScenarioContext, {wait, waitFor: wanted, exit}: Step): Promise<void> {
	if (wait !== undefined) {
		await sleep(wait);
	}

	if (wanted !== undefined) {
		await waitForStatus(context, wanted);
	}

	if (exit !== undefined) {
		const {cluster} = context;
		const code = await Promise.race([cluster.child(exit.process).exited, sleep(exit.within, 'late')]);
		expect(code).to.equal(exit.code);
	}
}

async function waitForStatus({cluster, scenario}: ScenarioContext, wanted: NonNullable<Step['waitFor']>): Promise<void> {
	const deadline = performance.now() + wanted.within;
	const database = wanted.database ?? scenario.cluster.databases[0];
	for (const host of wanted.hosts ?? cluster.hosts) {
		for (;;) {
			const known = await readHostStatus(cluster, {host, database: database ?? ''}); // eslint-disable-line no-await-in-loop
			const isReached = (wanted.primary === undefined || known.primary === wanted.primary)
				&& (wanted.notPrimary === undefined || known.primary !== wanted.notPrimary)
				&& (wanted.version === undefined || known.version >= wanted.version);
			if (isReached) {
				break;
			}

			expect(performance.now(), `${host} reports primary ${known.primary} and version ${known.version}`).to.be.below(deadline);
			await sleep(pollIntervalMs); // eslint-disable-line no-await-in-loop
		}
	}
}

/** Reads the primary and the configuration version that a host reports; '' and -1 if the host does not answer yet. */
async function readHostStatus(
	cluster: Cluster,
	{host, database}: {readonly host: string; readonly database: string},
): Promise<{readonly primary: string; readonly version: number}> {
	try {
		const status = await cluster.operator(host).status({});
		const primary = status.groups.find(group => group.database === database)?.primary ?? '';
		return {primary, version: status.configVersion};
	} catch {
		return {primary: '', version: -1};
	}
}
