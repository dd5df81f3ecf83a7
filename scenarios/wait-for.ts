import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';

/** Milliseconds between two looks at what hosts know. */
const repeatDelay = 20;

/** Waits as a step says: for a time, for what hosts know, or for the end of a process. */
export async function waitFor(context: ScenarioContext, {wait, waitFor: wanted, exit}: Step): Promise<void> {
	if (wait !== undefined) {
		await sleep(wait);
	}

	if (wanted !== undefined) {
		await waitForStatus(context, wanted);
	}

	if (exit !== undefined) {
		const {cluster} = context;
		const code = await Promise.race([cluster.child(exit.process).ended, sleep(exit.within, 'late')]);
		expect(code).to.equal(exit.code);
	}
}

async function waitForStatus({cluster, scenario}: ScenarioContext, wanted: NonNullable<Step['waitFor']>): Promise<void> {
	const deadline = performance.now() + wanted.within;
	const database = wanted.database ?? scenario.cluster.databases[0];
	for (const host of wanted.hosts ?? cluster.hosts) {
		for (;;) {
			const known = await readKnown(cluster, {host, database: database ?? ''}); // eslint-disable-line no-await-in-loop
			const isKnown = (wanted.primary === undefined || known.primary === wanted.primary)
				&& (wanted.notPrimary === undefined || known.primary !== wanted.notPrimary)
				&& (wanted.version === undefined || known.version >= wanted.version);
			if (isKnown) {
				break;
			}

			expect(performance.now(), `${host} knows primary ${known.primary} and version ${known.version}`).to.be.below(deadline);
			await sleep(repeatDelay); // eslint-disable-line no-await-in-loop
		}
	}
}

/** Reads what a host knows; a host that does not answer yet knows nothing. */
async function readKnown(
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
