import {expect} from 'chai';
import {parseEvent} from '@sapphirefall/events';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';

/** Checks the output and the operator pages of all processes: that they contain no key, or how many events they contain. */
export async function checkOutputs(context: ScenarioContext, step: Step): Promise<void> {
	if (step.noKeyShown === true) {
		await checkKeys(context);
	}

	if (step.events !== undefined) {
		checkEvents(context, step.events);
	}
}

async function checkKeys({cluster, keys}: ScenarioContext): Promise<void> {
	const shown = await Promise.all(cluster.hosts.map(async host => readOperatorPages(cluster, host)));
	expect(shown.some(text => text.includes('sapphirefall_requests_total')), 'no host shows its metrics').to.equal(true);
	for (const process of ['platform', ...cluster.hosts, ...cluster.instances]) {
		const child = cluster.child(process);
		const text = [child.readOutput(), child.readErrors(), shown[cluster.hosts.indexOf(process)]].join('\n');
		for (const key of keys) {
			expect(text, `${process} shows a key`).to.not.include(key);
		}
	}
}

/** Reads the metrics, events and configuration that a host shows to operators; empty if the host does not run. */
async function readOperatorPages(cluster: Cluster, host: string): Promise<string> {
	const headers = {authorization: `Bearer ${cluster.operatorToken}`};
	try {
		const pages = await Promise.all(['/metrics', '/events'].map(async path => {
			const response = await fetch(new URL(path, cluster.operatorUrl(host)), {headers});
			return response.text();
		}));
		const {configuration} = await cluster.operator(host).status({});
		return [...pages, configuration].join('\n');
	} catch {
		return '';
	}
}

function checkEvents({cluster}: ScenarioContext, wanted: NonNullable<Step['events']>): void {
	const found = ['platform', ...cluster.hosts, ...cluster.instances]
		.flatMap(process => cluster.child(process).readOutput().split('\n'))
		.map(line => parseEvent(line))
		.filter(event => event?.kind === wanted.kind && (wanted.detail === undefined || event.detail === wanted.detail));
	expect(found.length).to.be.at.least(wanted.least ?? 0);
	expect(found.length).to.be.at.most(wanted.most ?? Infinity);
}
