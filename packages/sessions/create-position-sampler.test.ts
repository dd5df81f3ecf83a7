import {expect} from 'chai';
import {createPositionSampler} from './create-position-sampler.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import type {PrimaryView} from './primary-view.ts';
import type {Versioned} from './versioned.ts';

const serving: Versioned<GroupRow> = {
	epoch: 4, state: 'serving', primary: 'i-a', successor: '', holder: 'a1', token: 2, version: encodeStoreVersion({era: 1, counter: 40}),
};
const restored = {...serving, version: encodeStoreVersion({era: 2, counter: 38})};
const point = {term: 1, position: 70n};
const answer = {
	kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: 'idle', position: point,
} as const satisfies JobAnswer;
const leased: PrimaryView = {kind: 'leased', instance: 'i-a', epoch: 4};

type Plan = {
	readonly row?: Versioned<GroupRow> | undefined;
	readonly view?: PrimaryView;
	readonly isStoreReader?: boolean;
	readonly workspace?: string | undefined;
	readonly answer?: JobAnswer;
};

/** Creates the sampler of a host that reads the store, and a clock that stands at 5000. */
function createSampler(plan: Plan = {}) {
	const time = {steady: 5000, wall: 5000};
	let queries = 0;
	const sampler = createPositionSampler({
		group: 'pondbook',
		findRow: () => 'row' in plan ? plan.row : serving,
		findPrimary: () => plan.view ?? leased,
		findInstance: () => ({
			async run() {
				queries++;
				time.steady += 30;
				time.wall += 30;
				return {answer: plan.answer ?? answer};
			},
		}) as unknown as InstanceRuntime,
		isStoreReader: () => plan.isStoreReader ?? true,
		findWorkspace: () => 'workspace' in plan ? plan.workspace : 'upper',
		now: () => ({...time}),
	});
	return {sampler, time, countQueries: () => queries};
}

describe(createPositionSampler.name, () => {
	const answers: ReadonlyArray<{readonly name: string; readonly row: Versioned<GroupRow> | undefined; readonly instance: string; readonly epoch: number; readonly isKept: boolean}> = [
		{
			name: 'keeps the position of the primary', row: serving, instance: 'i-a', epoch: 4, isKept: true,
		},
		{
			name: 'ignores the position of a replica', row: serving, instance: 'i-b', epoch: 4, isKept: false,
		},
		{
			name: 'ignores an answer to a request of an earlier epoch', row: serving, instance: 'i-a', epoch: 3, isKept: false,
		},
		{
			name: 'ignores the position of a primary that is being replaced', row: {...serving, state: 'fencing'}, instance: 'i-a', epoch: 4, isKept: false,
		},
		{
			name: 'ignores the position of a primary that a row of an earlier era names', row: restored, instance: 'i-a', epoch: 4, isKept: false,
		},
		{
			name: 'ignores positions while no primary is known', row: undefined, instance: 'i-a', epoch: 4, isKept: false,
		},
	];
	for (const {name, row, instance, epoch, isKept} of answers) {
		it(name, () => {
			const {sampler, time} = createSampler({row});
			sampler.recordAnswer(instance, answer, {at: time, epoch});
			expect(sampler.findNewestPosition()?.position).to.equal(isKept ? point : undefined);
		});

		if (instance === 'i-a') {
			it(`${name}, as another host reports it`, () => {
				const {sampler, time} = createSampler({row});
				sampler.recordPosition({
					group: 'pondbook', epoch, position: point, age: 250,
				}, time);
				expect(sampler.findNewestPosition()?.age).to.equal(isKept ? 250 : undefined);
			});
		}
	}

	// Guards against reads that accept older data on a log without any: the primary starts again under its id with an empty log.
	it('ignores a position that lies behind an earlier one of the same primary', () => {
		const {sampler, time} = createSampler();
		sampler.recordAnswer('i-a', answer, {at: {...time}, epoch: 4});
		time.steady += 1000;
		time.wall += 1000;
		sampler.recordAnswer('i-a', {...answer, position: {term: 1, position: 1n}}, {at: {...time}, epoch: 4});
		expect(sampler.findRequiredPosition({maxStaleness: 5000, lastWrite: undefined, arrivedAt: time})).to.deep.equal(point);
		expect(sampler.findRequiredPosition({maxStaleness: 500, lastWrite: undefined, arrivedAt: time})).to.equal(undefined);
	});

	it('keeps a position of a later primary that lies behind one of its predecessor', () => {
		const plan: {row: Versioned<GroupRow>} = {row: serving};
		const {sampler, time} = createSampler(plan);
		sampler.recordAnswer('i-a', answer, {at: {...time}, epoch: 4});
		time.steady += 1000;
		time.wall += 1000;
		plan.row = {...serving, epoch: 5, primary: 'i-b'};
		const position = {term: 1, position: 60n};
		sampler.recordAnswer('i-b', {...answer, position}, {at: {...time}, epoch: 5});
		expect(sampler.findRequiredPosition({maxStaleness: 5000, lastWrite: undefined, arrivedAt: time})).to.deep.equal(position);
	});

	const commits = [
		{
			name: 'knows a commit as one beyond the position that was known when it was sent', known: 4, epoch: 4, expected: {epoch: 4, after: point},
		},
		{
			name: 'knows no place of a commit of a primary whose log was not known', known: 4, epoch: 5, expected: undefined,
		},
	];
	for (const {name, known, epoch, expected} of commits) {
		// Guards against a failover that does not know what this host has acknowledged.
		it(name, () => {
			const {sampler, time} = createSampler();
			sampler.recordCommit(epoch, {epoch: known, position: point, requestedAt: {...time}});
			expect(sampler.findCommitMark()).to.deep.equal(expected);
		});
	}

	it('counts the age of a position from when the primary was asked', async () => {
		const {sampler} = createSampler();
		await sampler.step();
		expect(sampler.findNewestPosition()).to.deep.equal({
			group: 'pondbook', epoch: 4, position: point, age: 30,
		});
	});

	const steps: ReadonlyArray<{readonly name: string; readonly plan: Plan; readonly queries: number}> = [
		{name: 'asks the primary on a host that reports positions', plan: {}, queries: 1},
		{name: 'asks nobody on another host without reads', plan: {isStoreReader: false}, queries: 0},
		{name: 'asks nobody without a lease', plan: {view: {kind: 'unavailable', reason: 'lapsed', retryAfter: 500}}, queries: 0},
		{name: 'asks nobody while no workspace is known', plan: {workspace: undefined}, queries: 0},
	];
	for (const {name, plan, queries} of steps) {
		it(name, async () => {
			const {sampler, countQueries} = createSampler(plan);
			await sampler.step();
			expect(countQueries()).to.equal(queries);
		});
	}

	it('asks the primary on another host once callers read from replicas, and for a while after', async () => {
		const {sampler, time, countQueries} = createSampler({isStoreReader: false, answer: {kind: 'notSent', reason: ''}});
		sampler.findRequiredPosition({maxStaleness: 5000, lastWrite: undefined, arrivedAt: time});
		await sampler.step();
		expect(countQueries()).to.equal(1);
		time.steady += 5000;
		await sampler.step();
		expect(countQueries()).to.equal(1);
	});

	it('asks the primary once at a time', async () => {
		const {sampler, countQueries} = createSampler();
		await Promise.all([sampler.step(), sampler.step()]);
		expect(countQueries()).to.equal(1);
	});
});
