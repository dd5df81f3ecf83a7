import {expect} from 'chai';
import {createServiceTimer} from './create-service-timer.ts';

/** Serves requests of two priorities by turns, and returns what is known of their times after a pause. */
function measure(count: number, pauseMs = 0) {
	let now = 0;
	const timer = createServiceTimer(() => now);
	for (let index = 0; index < count; index++) {
		const server = {};
		timer.begin(server, index % 2);
		now += index % 2 === 0 ? 10 : 50;
		timer.end(server);
		timer.end(server);
	}

	now += pauseMs;
	const {serviceMs, leastServiceMs, findServiceMs} = timer.findPace();
	return {serviceMs, leastServiceMs, byPriority: [findServiceMs?.(0), findServiceMs?.(1), findServiceMs?.(2)]};
}

const unknown = {serviceMs: undefined, leastServiceMs: undefined, byPriority: [undefined, undefined, undefined]};

describe('createServiceTimer', () => {
	const cases = [
		{name: 'knows nothing from too few times', measured: measure(9), expected: unknown},
		{name: 'averages the times of all and of each priority', measured: measure(10), expected: {serviceMs: 30, leastServiceMs: 10, byPriority: [10, 50, undefined]}},
		{name: 'knows nothing any more after a pause, as when an instance hangs', measured: measure(100, 6000), expected: unknown},
	];
	for (const {name, measured, expected} of cases) {
		it(name, () => {
			expect(measured).to.deep.equal(expected);
		});
	}
});
