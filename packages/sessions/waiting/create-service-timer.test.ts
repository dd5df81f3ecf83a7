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

	type Load = {
		readonly count: number;
		readonly priority: number;
		readonly serviceMs: number;
		/** Pause before it, in milliseconds. */
		readonly pauseMs?: number;
	};

	/** Serves loads one after another, while one request of priority 0 is served all the while if `isHeld` is true. */
	const serve = (loads: readonly Load[], isHeld = false) => {
		let now = 0;
		const timer = createServiceTimer(() => now);
		const held = {};
		if (isHeld) {
			timer.begin(held, 0);
		}

		for (const {count, priority, serviceMs, pauseMs = 0} of loads) {
			now += pauseMs;
			for (let index = 0; index < count; index++) {
				const server = {};
				timer.begin(server, priority);
				now += serviceMs;
				timer.end(server);
			}
		}

		timer.end(held);
		return timer.findPace();
	};

	it('hardly changes by one transaction that holds its connection for 30 s', () => {
		expect(serve([{count: 3000, priority: 0, serviceMs: 10}], true).serviceMs).to.be.within(10, 20);
	});

	it('follows an instance that turns a hundred times slower', () => {
		expect(serve([{count: 50, priority: 0, serviceMs: 10}, {count: 30, priority: 0, serviceMs: 1000}]).serviceMs).to.be.above(800);
	});

	it('does not use old times of a priority that is above the others, as after it was slow', () => {
		const {findServiceMs} = serve([{count: 50, priority: 3, serviceMs: 2000}, {count: 5000, priority: 0, serviceMs: 10}]);
		expect(findServiceMs?.(3)).to.be.closeTo(10, 1);
	});

	it('begins anew after a pause, as when an instance that was slow recovers', () => {
		const slow: Load = {count: 50, priority: 0, serviceMs: 2000};
		expect(serve([slow, {
			count: 9, priority: 0, serviceMs: 10, pauseMs: 6000,
		}]).serviceMs).to.equal(undefined);
		expect(serve([slow, {
			count: 10, priority: 0, serviceMs: 10, pauseMs: 6000,
		}])).to.deep.include({serviceMs: 10, leastServiceMs: 10});
	});
});
