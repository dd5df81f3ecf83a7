import {expect} from 'chai';
import fc from 'fast-check';
import {applyReport} from './apply-report.ts';
import {comparePoints} from './compare-points.ts';
import {createGroupView} from './create-group-view.ts';
import {stepFailover} from './step-failover.ts';
import type {FailoverEffect} from './failover-effect.ts';
import type {FailoverEvent} from './failover-event.ts';
import type {FailoverState} from './failover-state.ts';
import type {Group} from './group.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceReport} from './instance-report.ts';
import type {LogPoint} from './log-point.ts';

const settings = {suspectAfter: 500, stepTimeout: 500, stagger: 200};
const names = ['a', 'b', 'c'];
const group: Group = {
	database: 'pondbook',
	instances: names.map(id => ({
		id, zone: id, address: '', isDeparting: false,
	})),
};
const runs = 300;

/** A model of an instance, which grants a term to one owner only and takes writes only as primary. */
type InstanceModel = {
	term: number;
	owner: string;
	role: InstanceReport['role'];
	log: Array<{readonly term: number; readonly write: string}>;
};

/** The next action of a random schedule. */
type ScheduledAction =
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'tick'; readonly watcher: number}
	| {readonly kind: 'probe'; readonly watcher: number; readonly instance: number}
	| {readonly kind: 'deliver'; readonly pick: number}
	| {readonly kind: 'lose'; readonly pick: number}
	| {readonly kind: 'write'; readonly watcher: number}
	| {readonly kind: 'replicate'; readonly instance: number};

const watcher = fc.integer({min: 0, max: 1});
const instance = fc.integer({min: 0, max: 2});
const scheduledAction: fc.Arbitrary<ScheduledAction> = fc.oneof(
	{weight: 2, arbitrary: fc.record({kind: fc.constant('wait' as const), milliseconds: fc.integer({min: 10, max: 400})})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('tick' as const), watcher})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('probe' as const), watcher, instance})},
	{weight: 10, arbitrary: fc.record({kind: fc.constant('deliver' as const), pick: fc.nat(30)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lose' as const), pick: fc.nat(30)})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('write' as const), watcher})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('replicate' as const), instance})},
);

function readEnd(model: InstanceModel): LogPoint {
	return {term: model.log.at(-1)?.term ?? 0, position: BigInt(model.log.length)};
}

/** Runs a schedule with two watchers and three instances; returns the acknowledged writes and the models. */
function runSchedule(schedule: readonly ScheduledAction[]) {
	const models = new Map<string, InstanceModel>(names.map((name, index) => [name, {
		term: 1, owner: 'first', role: index === 0 ? 'primary' : 'replica', log: [{term: 1, write: 'start'}],
	}]));
	const views: GroupView[] = [createGroupView(group), createGroupView(group)];
	const states: FailoverState[] = [{kind: 'watching'}, {kind: 'watching'}];
	const pending: Array<{readonly watcher: number; readonly point: LogPoint; readonly term: number; readonly write: string}> = [];
	const acknowledged: string[] = [];
	const messages: Array<() => void> = [];
	let now = 0;
	let writes = 0;

	const find = (name: string): InstanceModel => models.get(name) ?? {
		term: 0, owner: '', role: 'fenced', log: [],
	};

	const createReport = (name: string): InstanceReport => {
		const model = find(name);
		return {
			instance: name, term: model.term, role: model.role, point: readEnd(model),
		};
	};

	const acknowledge = (index: number) => {
		const view = views[index];
		for (const write of pending.filter(candidate => candidate.watcher === index)) {
			const isHeld = view?.term === write.term && view.acknowledged !== undefined
				&& comparePoints(view.acknowledged, write.point) >= 0;
			if (isHeld) {
				acknowledged.push(write.write);
				pending.splice(pending.indexOf(write), 1);
			}
		}
	};

	const report = (index: number, {name, sentAt}: {readonly name: string; readonly sentAt: number}) => {
		const answer = createReport(name);
		messages.push(() => {
			const view = views[index];
			if (view !== undefined) {
				views[index] = applyReport(view, {report: answer, sentAt, now});
				acknowledge(index);
			}
		});
	};

	const step = (index: number, event: FailoverEvent) => {
		const view = views[index];
		const state = states[index];
		if (view === undefined || state === undefined) {
			return;
		}

		const next = stepFailover(state, {
			event, view, settings, watchedSince: 0, rank: index, needsConfirmation: false, now,
		});
		states[index] = next.state;
		for (const effect of next.effects) {
			messages.push(() => {
				runEffect(index, effect);
			});
		}
	};

	const runEffect = (index: number, effect: FailoverEffect) => {
		const owner = `watcher ${index}`;
		switch (effect.kind) {
			case 'fence': {
				const model = find(effect.instance);
				if (effect.term > model.term) {
					Object.assign(model, {term: effect.term, owner, role: 'fenced'});
				}

				const isGranted = model.term === effect.term && model.owner === owner;
				const answer = createReport(effect.instance);
				messages.push(() => {
					step(index, {
						kind: 'fenceAnswered', term: effect.term, isGranted, report: answer,
					});
				});
				break;
			}

			case 'promote': {
				const model = find(effect.instance);
				const isGranted = model.term === effect.term && model.owner === owner && model.role !== 'replica';
				if (isGranted && model.role === 'fenced') {
					model.role = 'primary';
					model.log = [...model.log, {term: effect.term, write: ''}];
				}

				messages.push(() => {
					step(index, {kind: 'promoteAnswered', term: effect.term, isGranted});
				});
				break;
			}

			case 'follow': {
				const model = find(effect.instance);
				if (effect.term > model.term || (effect.term === model.term && model.role !== 'primary')) {
					Object.assign(model, {term: effect.term, owner: effect.term > model.term ? '' : model.owner, role: 'replica'});
				}

				break;
			}

			case 'askConfirmation':
			case 'publishStep': {
				break;
			}
		}
	};

	const replicate = (name: string) => {
		const model = find(name);
		const primary = [...models.values()].find(candidate => candidate.role === 'primary' && candidate.term === model.term);
		if (model.role === 'replica' && primary !== undefined) {
			model.log = [...primary.log];
		}
	};

	const write = (index: number) => {
		const view = views[index];
		const model = find(view?.primary ?? '');
		if (model.role === 'primary' && model.term === view?.term) {
			writes++;
			model.log = [...model.log, {term: model.term, write: `w${writes}`}];
			pending.push({
				watcher: index, point: readEnd(model), term: model.term, write: `w${writes}`,
			});
		}
	};

	for (const next of schedule) {
		switch (next.kind) {
			case 'wait': {
				now += next.milliseconds;
				break;
			}

			case 'tick': {
				step(next.watcher, {kind: 'tick'});
				break;
			}

			case 'probe': {
				report(next.watcher, {name: names[next.instance] ?? '', sentAt: now});
				break;
			}

			case 'deliver': {
				messages.splice(next.pick % Math.max(1, messages.length), 1)[0]?.();
				break;
			}

			case 'lose': {
				messages.splice(next.pick % Math.max(1, messages.length), 1);
				break;
			}

			case 'write': {
				write(next.watcher);
				break;
			}

			case 'replicate': {
				replicate(names[next.instance] ?? '');
				break;
			}
		}
	}

	return {models, acknowledged};
}

describe('stepFailover', () => {
	// Guards against two primaries in one term: an attempt after the watcher's own promotion, of which no report has come yet.
	it('uses a term for one attempt only', () => {
		const view = createGroupView(group);
		let state: FailoverState = {kind: 'watching'};
		const step = (event: FailoverEvent) => {
			const next = stepFailover(state, {
				event, view, settings, watchedSince: 0, rank: 0, needsConfirmation: false, now: 1000,
			});
			state = next.state;
			return next.effects;
		};

		const startAttempt = () => {
			step({kind: 'tick'});
			return step({kind: 'tick'}).map(effect => effect.kind === 'fence' ? effect.term : undefined);
		};

		const [term = 0] = startAttempt();
		for (const name of ['b', 'c']) {
			step({
				kind: 'fenceAnswered', term, isGranted: true, report: {
					instance: name, term, role: 'fenced', point: {term: 1, position: 1n},
				},
			});
		}

		step({kind: 'promoteAnswered', term, isGranted: true});
		expect(startAttempt()).to.deep.equal([term + 1, term + 1, term + 1]);
	});

	it('has at most one primary in a term, and keeps every acknowledged write exactly once', () => {
		let replaced = 0;
		let kept = 0;
		fc.assert(fc.property(fc.array(scheduledAction, {minLength: 100, maxLength: 600}), schedule => {
			const {models, acknowledged} = runSchedule(schedule);
			const primaries = [...models.values()].filter(({role}) => role === 'primary').map(({term}) => term);
			expect(new Set(primaries).size).to.equal(primaries.length);
			const newest = [...models.values()].toSorted((a, b) => b.term - a.term || comparePoints(readEnd(b), readEnd(a)))
				.find(({role}) => role === 'primary');
			if (newest === undefined || newest.term < Math.max(...[...models.values()].map(({term}) => term))) {
				return;
			}

			const writes = newest.log.map(({write}) => write).filter(write => acknowledged.includes(write));
			expect(writes.toSorted()).to.deep.equal(acknowledged.toSorted());
			expect(new Set(writes).size).to.equal(writes.length);
			replaced += newest.term > 1 ? 1 : 0;
			kept += newest.term > 1 ? writes.length : 0;
		}), {numRuns: runs});
		expect(replaced, 'schedules that replaced a primary').to.be.above(0);
		expect(kept, 'acknowledged writes that a failover had to keep').to.be.above(0);
	});
});
