import {expect} from 'chai';
import {createMemoryRelief} from './create-memory-relief.ts';

const mebibyte = 1024 * 1024;

/** Milliseconds that the collection of garbage takes. */
const collectionMs = 40;

describe('createMemoryRelief', () => {
	const cases = [
		{
			name: 'large messages in calm', messageMb: 2, usedMb: [60, 60, 60], freedMb: 50, expected: 0,
		},
		{
			name: 'large messages that leave garbage', messageMb: 2, usedMb: [75, 75, 75], freedMb: 50, expected: 3,
		},
		{
			name: 'large messages while all memory is in use', messageMb: 2, usedMb: [75, 76, 77], freedMb: 75, expected: 1,
		},
		{
			name: 'memory in use that grows', messageMb: 2, usedMb: [75, 79, 81], freedMb: 75, expected: 2,
		},
		{
			name: 'hardly any memory left', messageMb: 2, usedMb: [81, 82, 83], freedMb: 81, expected: 3,
		},
		{
			name: 'hardly any memory left, in quick succession', messageMb: 2, usedMb: [81, 82, 83], freedMb: 81, intervalMs: 100, expected: 1,
		},
		{
			name: 'memory that runs out in quick succession', messageMb: 2, usedMb: [81, 87, 93], freedMb: 81, intervalMs: 100, expected: 3,
		},
		{
			name: 'small messages beside little memory', messageMb: 0.1, usedMb: [75, 75, 75], freedMb: 50, expected: 0,
		},
	];
	for (const {
		name, messageMb, usedMb, freedMb, intervalMs = 1000, expected,
	} of cases) {
		it(`frees memory as often as it has to: ${name}`, () => {
			let count = 0;
			let used = 0;
			let time = 0;
			const relief = createMemoryRelief({
				limitBytes: 100 * mebibyte,
				readUsedBytes: () => used * mebibyte,
				collect() {
					count++;
					used = freedMb;
					time += collectionMs;
				},
				now: () => time,
			});
			for (const next of usedMb) {
				used = next;
				time += intervalMs;
				relief.record(messageMb * mebibyte);
			}

			expect(count).to.equal(expected);
		});
	}

	it('never frees memory without a limit', () => {
		const relief = createMemoryRelief({
			limitBytes: Number.POSITIVE_INFINITY,
			readUsedBytes: () => 1e12,
			collect() {
				throw new Error('not expected');
			},
			now: () => 0,
		});
		relief.record(100 * mebibyte);
	});
});
