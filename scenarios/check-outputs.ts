import {expect} from 'chai';
import {parseEvent} from '@sapphirefall/events';
import type {Stage} from './stage.ts';
import type {Step} from './step.ts';

/** Checks what the processes have written, as a step says: that no key is in it, or the number of events. */
export function checkOutputs(stage: Stage, step: Step): void {
	if (step.noKeyShown === true) {
		checkKeys(stage);
	}

	if (step.events !== undefined) {
		checkEvents(stage, step.events);
	}
}

function checkKeys({cluster, keys}: Stage): void {
	for (const process of ['platform', ...cluster.hosts, ...cluster.instances]) {
		const child = cluster.child(process);
		for (const key of keys) {
			expect(child.readOutput() + child.readErrors(), `${process} shows a key`).to.not.include(key);
		}
	}
}

function checkEvents({cluster}: Stage, wanted: NonNullable<Step['events']>): void {
	const found = cluster.hosts
		.flatMap(host => cluster.child(host).readOutput().split('\n'))
		.map(line => parseEvent(line))
		.filter(event => event?.kind === wanted.kind && (wanted.detail === undefined || event.detail === wanted.detail));
	expect(found.length).to.be.at.least(wanted.least ?? 0);
	expect(found.length).to.be.at.most(wanted.most ?? Infinity);
}
