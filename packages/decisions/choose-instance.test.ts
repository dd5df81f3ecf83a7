import {expect} from 'chai';
import {applyReport} from './apply-report.ts';
import {chooseInstance} from './choose-instance.ts';
import {createGroupView} from './create-group-view.ts';
import type {Freshness} from './freshness.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceReport} from './instance-report.ts';
import type {LogPoint} from './log-point.ts';

const names = ['a', 'b', 'c'];

type Answered = {readonly report: InstanceReport; readonly sentAt: number};

function createView(answers: readonly Answered[], departing: readonly string[] = []): GroupView {
	let view = createGroupView({
		database: 'pondbook',
		instances: names.map(id => ({
			id, zone: id, address: '', isDeparting: departing.includes(id),
		})),
	});
	for (const {report, sentAt} of answers) {
		view = applyReport(view, {report, sentAt, now: sentAt + 6});
	}

	return view;
}

const primary = (position: bigint, term = 1): InstanceReport => ({
	instance: 'a', term, role: 'primary', point: {term, position},
});
const replica = (instance: string, position: bigint): InstanceReport => ({
	instance, term: 1, role: 'replica', point: {term: 1, position},
});

const termOneAnswers = [
	{report: primary(10n), sentAt: 1000},
	{report: replica('b', 10n), sentAt: 1000},
	{report: replica('c', 4n), sentAt: 1000},
];
const latest: Freshness = {kind: 'latest'};
const session: Freshness = {kind: 'session'};
const within = (age: number): Freshness => ({kind: 'within', age});

describe('chooseInstance', () => {
	const cases: ReadonlyArray<readonly [string, GroupView, {
		readonly freshness: Freshness; readonly point?: LogPoint; readonly zone: string; readonly now: number;
	}, string]> = [
		['the primary for a latest read', createView(termOneAnswers), {freshness: latest, zone: 'b', now: 1010}, 'a'],
		['the replica of the host\'s zone that has caught up', createView(termOneAnswers), {freshness: within(100), zone: 'b', now: 1010}, 'b'],
		['a replica of another zone rather than the primary', createView(termOneAnswers), {freshness: within(100), zone: 'c', now: 1010}, 'b'],
		['the primary when the proof is too old', createView(termOneAnswers), {freshness: within(100), zone: 'b', now: 1101}, 'a'],
		['no replica that has stopped answering probes', createView(termOneAnswers), {freshness: within(10_000), zone: 'b', now: 2100}, 'a'],
		['the primary for a session without a log point', createView(termOneAnswers), {freshness: session, zone: 'b', now: 1010}, 'a'],
		['a replica at the session\'s log point', createView(termOneAnswers), {
			freshness: session, point: {term: 1, position: 10n}, zone: 'c', now: 1010,
		}, 'b'],
		['the replica of the host\'s zone past the session\'s log point', createView(termOneAnswers), {
			freshness: session, point: {term: 1, position: 3n}, zone: 'c', now: 1010,
		}, 'c'],
		['the primary when no replica has reached the log point', createView(termOneAnswers), {
			freshness: session, point: {term: 1, position: 11n}, zone: 'b', now: 1010,
		}, 'a'],
		['no replica for a session of a later term', createView(termOneAnswers), {
			freshness: session, point: {term: 2, position: 2n}, zone: 'b', now: 1010,
		}, 'a'],
		['no departing replica', createView(termOneAnswers, ['b']), {freshness: within(100), zone: 'b', now: 1010}, 'a'],
		['no replica before any proof', createView(termOneAnswers.slice(1)), {freshness: within(10_000), zone: 'b', now: 1010}, 'none'],
		['no replica of a term that has ended', createView([...termOneAnswers, {report: primary(11n, 2), sentAt: 1001}]), {
			freshness: within(10_000), zone: 'b', now: 1010,
		}, 'a'],
	];
	for (const [title, view, {freshness, point, zone, now}, expected] of cases) {
		it(`chooses ${title}`, () => {
			const choice = chooseInstance(view, {
				freshness, point, zone, now,
			});
			expect(choice.kind === 'none' ? 'none' : choice.instance).to.equal(expected);
		});
	}
});
