import {expect} from 'chai';
import {createSessionGroup} from './create-session-group.ts';
import {createStatementTrace} from './create-statement-trace.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {Operation} from './operation.ts';
import {runRead} from './run-read.ts';
import type {SessionContext} from './session-context.ts';

const ignore = () => undefined;
const serving: GroupRow = {
	epoch: 4, state: 'serving', primary: 'i-a', successor: '', holder: 'a1', token: 2,
};
const point = (position: bigint) => ({term: 1, position});
const createInstance = (id: string, isDeparting: boolean): ListedInstance => ({
	id, group: 'pondbook', host: '127.0.0.1', port: 1, zone: 'a', slots: 4, isDeparting,
} as unknown as ListedInstance);

/** Creates a group whose primary is `i-a` and whose replica `i-b` serves reads. Instances hold requests until they are answered, or `respond` does. */
function createHarness(respond?: (request: InstanceRequest) => InstanceAnswer) {
	const held: Array<(answer: InstanceAnswer) => void> = [];
	const time = {steady: 10_000, wall: 10_000};
	const group = createSessionGroup('pondbook', {
		zone: 'a',
		openConnection: async () => ({
			kind: 'opened',
			connection: {
				send: async request => respond?.(request) ?? new Promise(resolve => {
					held.push(resolve);
				}),
				close: ignore,
				isClosed: () => false,
			},
		}),
		gateways: {self: 'a1', count: () => 1, list: () => ['a1']} as unknown as Gateways,
		isStoreReader: () => false,
		now: () => ({...time}),
		log: {debug: ignore, info: ignore, warn: ignore},
		findWorkspace: ignore,
	});
	let counter = 40;
	const read = (row: GroupRow) => {
		counter++;
		group.updateRow({...row, version: encodeStoreVersion({era: 1, counter})}, {...time});
	};

	group.setRegistered(true);
	read(serving);
	group.recordPosition({
		group: 'pondbook', epoch: 4, position: point(60n), age: 10,
	}, time);
	const operation = {
		context: {now: () => ({...time})} as unknown as SessionContext,
		group,
		route: {
			freshness: 'bounded', maxStaleness: 5000, targetLatency: 200, priority: 1,
		},
		workspace: 'upper',
		caller: {database: 'ponds', keyDigest: ''},
		setup: {variables: new Map(), prepared: new Map()},
		arrivedAt: {...time},
		deadline: time.steady + 4000,
		isAllowed: () => true,
		findAllowedRegions: ignore,
		mayReachZone: () => true,
		lastWrite: ignore,
		trace: createStatementTrace(),
	} as unknown as Operation;
	const waitForRequest = async () => {
		while (held.length === 0) {
			await new Promise(setImmediate); // eslint-disable-line no-await-in-loop -- waits until the request is sent
		}
	};

	return {
		group,
		time,
		read,
		operation,
		/** Runs a read that only the instance `reader` may serve; `during` happens between the request and the answer, at position 70. */
		async run(reader: string, during: () => void) {
			group.updateInstances(['i-a', 'i-b'].map(id => createInstance(id, id !== reader)), 4);
			const running = runRead({
				id: '1', text: 'READ a', access: 'read', execute: undefined,
			}, operation);
			await waitForRequest();
			time.steady += 20;
			time.wall += 20;
			during();
			held.shift()?.({
				kind: 'answered', outcome: {kind: 'done', rows: [], signature: '7'}, state: 'idle', position: point(70n),
			});
			return running;
		},
	};
}

describe('runRead', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly reader: string; readonly rows: readonly GroupRow[]; readonly position: bigint}> = [
		// A replica's position says nothing of what its predecessor had acknowledged when it was asked.
		// Guards against later reads that lack a commit which the replica received between its answer and its promotion.
		{
			name: 'keeps no position of a replica that became the primary before its answer came',
			reader: 'i-b',
			rows: [{
				...serving, epoch: 5, state: 'fencing', successor: 'i-b',
			}, {...serving, epoch: 5, primary: 'i-b'}],
			position: 60n,
		},
		{
			name: 'keeps no position of a replica', reader: 'i-b', rows: [], position: 60n,
		},
		{
			name: 'keeps the position of the primary', reader: 'i-a', rows: [], position: 70n,
		},
		{
			name: 'keeps no position of a primary that was replaced before its answer came', reader: 'i-a', rows: [{...serving, epoch: 5, primary: 'i-b'}], position: 60n,
		},
		{
			name: 'keeps no position of a primary that came back in a later epoch', reader: 'i-a', rows: [{...serving, epoch: 5, primary: 'i-b'}, {...serving, epoch: 6}], position: 60n,
		},
	];
	for (const {name, reader, rows, position} of cases) {
		it(name, async () => {
			const {group, read, run} = createHarness();
			const outcome = await run(reader, () => {
				for (const row of rows) {
					read(row);
				}
			});
			expect(outcome.kind).to.equal('done');
			expect(group.findNewestPosition()?.position).to.deep.equal(point(position));
		});
	}

	const logs = [
		{name: 'runs no read at the primary once its log lacks what it held before, as after a start with an empty one', held: 10n, kind: 'failed'},
		{name: 'runs a read at the primary while its log holds what it held before', held: 60n, kind: 'done'},
	];
	for (const {name, held, kind} of logs) {
		// Guards against reads that miss all commits because the primary has started again under its id and has lost its log.
		it(name, async () => {
			const {group, time, operation} = createHarness(request => {
				time.steady += 5;
				time.wall += 5;
				const lacks = 'after' in request && request.after !== undefined && request.after.position > held;
				return {
					kind: 'answered', state: 'idle', position: point(held), outcome: lacks ? {kind: 'failed', code: 'lagging', reason: ''} : {kind: 'done', rows: [], signature: '7'},
				};
			});
			group.updateInstances([createInstance('i-a', false)], 4);
			const outcome = await runRead({
				id: '1', text: 'READ a', access: 'read', execute: undefined,
			}, {...operation, route: {...operation.route, freshness: 'latest'}});
			expect(outcome.kind).to.equal(kind);
			// Guards against a primary that refuses all reads for ever, where no write makes a host ask it for its role.
			expect(group.isDemoted()).to.equal(kind === 'failed');
		});
	}
});
