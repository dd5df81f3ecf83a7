import {expect} from 'chai';
import type {InstanceConnection} from '../instance-connection.ts';
import {createConnectionWatch} from './create-connection-watch.ts';

/** Creates a connection that the instance can end. */
function createConnection() {
	let isClosed = false;
	const close = () => {
		isClosed = true;
	};

	const connection: InstanceConnection = {
		send: async () => ({kind: 'lost', reason: ''}), close, isClosed: () => isClosed,
	};
	return {connection, endByInstance: close};
}

type Step = 'instance ends 1' | 'instance ends 2' | 'host closes 1' | 'host closes 2' | 'open fails' | 'answer lost';

describe('createConnectionWatch', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly expected: boolean}> = [
		{name: 'nothing is lost while connections stay', steps: [], expected: false},
		{name: 'an instance that ended all connections was lost', steps: ['instance ends 1', 'instance ends 2'], expected: true},
		{name: 'an instance that keeps a connection was not', steps: ['instance ends 1'], expected: false},
		{name: 'an instance that accepts nothing was lost, even if a connection seems to be open', steps: ['open fails'], expected: true},
		{name: 'a host that closed its idle connections has not lost the instance', steps: ['host closes 1', 'host closes 2'], expected: false},
		{name: 'a host that closed connections behind a lost answer has', steps: ['answer lost', 'host closes 1', 'host closes 2'], expected: true},
		{name: 'a host that closes what the instance has ended has lost it', steps: ['instance ends 1', 'host closes 1', 'host closes 2'], expected: true},
	];
	for (const {name, steps, expected} of cases) {
		it(name, () => {
			const watch = createConnectionWatch();
			const [first, second] = [createConnection(), createConnection()];
			const [watchedFirst, watchedSecond] = [watch.add(first.connection), watch.add(second.connection)];
			const run: Readonly<Record<Step, () => void>> = {
				'instance ends 1': first.endByInstance,
				'instance ends 2': second.endByInstance,
				'host closes 1': watchedFirst.close,
				'host closes 2': watchedSecond.close,
				'open fails': watch.recordFailedOpen,
				'answer lost': watch.recordLostAnswer,
			};
			for (const step of steps) {
				run[step]();
			}

			expect(watch.takeLoss()).to.equal(expected);
			expect(watch.takeLoss()).to.equal(false);
		});
	}
});
