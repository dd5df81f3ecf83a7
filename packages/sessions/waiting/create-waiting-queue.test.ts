import {expect} from 'chai';
import fc from 'fast-check';
import {createWaitingQueue} from './create-waiting-queue.ts';

/** A kind of requests that arrive one after another in equal intervals. */
type Load = {
	readonly workspace: string;
	readonly priority: number;
	/** Requests a second. */
	readonly rate: number;
	readonly serviceMs: number;
	readonly targetMs: number;
	readonly timeoutMs: number;
};

type Outcome = 'onTime' | 'late' | 'refused' | 'expired';

type Request = {
	readonly load: Load;
	readonly workspace: string;
	readonly priority: number;
	readonly since: number;
	readonly target: number;
	readonly deadline: number;
};

const requestDefaults = {
	workspace: 'upper', priority: 1, target: 1000, deadline: 2000,
};

const createRequests = (load: Load, durationMs: number): readonly Request[] =>
	Array.from({length: Math.floor(load.rate * durationMs / 1000)}, (_, index) => {
		const since = index * 1000 / load.rate;
		return {
			load, workspace: load.workspace, priority: load.priority, since, target: since + load.targetMs, deadline: since + load.timeoutMs,
		};
	});

/** Serves loads one request at a time, in steps of a millisecond. Returns the fraction of each load's requests by outcome. */
function serve(loads: readonly Load[], durationMs: number) {
	const outcomes = new Map<Load, Outcome[]>(loads.map(load => [load, []]));
	const arrivals = loads.flatMap(load => createRequests(load, durationMs)).toSorted((a, b) => a.since - b.since);
	const record = ({load}: Request, outcome: Outcome) => {
		outcomes.get(load)?.push(outcome);
	};

	let busyUntil = 0;
	const served: Load[] = [];
	const queue = createWaitingQueue<Request>({
		findPace: () => ({
			serviceMs: served.length < 10 ? undefined : served.reduce((sum, {serviceMs}) => sum + serviceMs, 0) / served.length,
			findServiceMs: priority => served.find(load => load.priority === priority)?.serviceMs,
			limit: 1,
		}),
		onRefused(request, {cause}) {
			record(request, cause === 'expired' ? 'expired' : 'refused');
		},
	});
	for (let now = 0; arrivals.length > 0 || queue.count() > 0 || now < busyUntil; now++) {
		while (arrivals[0] !== undefined && arrivals[0].since <= now) {
			queue.add(arrivals.shift()!);
		}

		const request = now >= busyUntil ? queue.take(now) : undefined;
		if (request !== undefined) {
			busyUntil = now + request.load.serviceMs;
			served.push(request.load);
			record(request, busyUntil <= request.target ? 'onTime' : (busyUntil <= request.deadline ? 'late' : 'expired'));
		}
	}

	return (load: Load, outcome: Outcome) => {
		const all = outcomes.get(load) ?? [];
		return all.filter(other => other === outcome).length / all.length;
	};
}

const reads: Load = {
	workspace: 'upper', priority: 2, rate: 10, serviceMs: 50, targetMs: 1500, timeoutMs: 8000,
};
const writes: Load = {
	workspace: 'lower', priority: 0, rate: 25, serviceMs: 10, targetMs: 250, timeoutMs: 2000,
};

type Expected = {
	readonly load: Load;
	/** Fractions of the load's requests. */
	readonly minOnTime?: number;
	readonly maxOnTime?: number;
	readonly minServed?: number;
	readonly maxExpired?: number;
};

const patterns: ReadonlyArray<{readonly name: string; readonly expected: readonly Expected[]}> = [
	{
		name: 'long cheap reads arrive twofold beside short dear writes',
		// There is room for three quarters of the reads; half of those should be on time.
		expected: [{load: {...reads, rate: 20}, minOnTime: 0.375}, {load: writes, minOnTime: 1}],
	},
	{
		name: 'long cheap reads arrive twofold, and the short dear writes at 1.8',
		// There is room for 55 % of the reads.
		expected: [{load: {...reads, rate: 20}, minOnTime: 0.275}, {load: {...writes, rate: 45}, minOnTime: 1}],
	},
	{
		name: 'one workspace sends seven times its usual, which costs itself and not the others',
		expected: [
			...['a', 'b', 'c'].map(workspace => ({load: {...reads, rate: 3, workspace}, minOnTime: 1})),
			// There is room for 52 % of them beside the others.
			{load: {...reads, rate: 21, workspace: 'flood'}, minOnTime: 0.26, maxOnTime: 0.8},
		],
	},
	{
		name: 'low ones are not starved while urgent ones take all the room',
		expected: [{load: {...writes, rate: 120}, minOnTime: 0.7}, {load: {...reads, rate: 2, serviceMs: 10}, minServed: 0.9}],
	},
	{
		name: 'everything is too late: what cannot be served is refused before its deadline, and the rest is served',
		expected: [{
			load: {
				...writes, rate: 400, targetMs: 300, timeoutMs: 600,
			},
			// There is room for a quarter of them.
			minOnTime: 0.125,
			minServed: 0.2,
			maxExpired: 0.02,
		}],
	},
	{
		name: 'calm',
		expected: [{load: {...reads, rate: 8}, minOnTime: 1}, {load: writes, minOnTime: 1}],
	},
];

describe('createWaitingQueue, under load', () => {
	for (const {name, expected} of patterns) {
		it(name, () => {
			const find = serve(expected.map(({load}) => load), 12_000);
			for (const {
				load, minOnTime = 0, maxOnTime = 1, minServed = 0, maxExpired = 1,
			} of expected) {
				expect(find(load, 'onTime')).to.be.within(minOnTime, maxOnTime);
				expect(find(load, 'onTime') + find(load, 'late')).to.be.at.least(minServed);
				expect(find(load, 'expired')).to.be.at.most(maxExpired);
			}
		});
	}
});

describe('createWaitingQueue, take', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly waiting: ReadonlyArray<Partial<typeof requestDefaults> & {readonly id: string}>; readonly order: readonly string[]}> = [
		{
			name: 'an urgent statement with 0.2 s goes before patient ones with 8 s, whatever its priority',
			waiting: [{
				id: 'patient', priority: 1, target: 7900, deadline: 8000,
			}, {
				id: 'pressed', priority: 2, target: 200, deadline: 200,
			}],
			order: ['pressed', 'patient'],
		},
		{
			name: 'the urgent class goes first where both have little time',
			waiting: [{id: 'low', priority: 2, target: 200}, {id: 'urgent', priority: 0, target: 250}],
			order: ['urgent', 'low'],
		},
		{
			name: 'one that can still meet its target goes before one that has missed it',
			waiting: [{id: 'late', target: 0, deadline: 600}, {id: 'onTime', target: 1500, deadline: 2000}],
			order: ['onTime', 'late'],
		},
		{
			name: 'workspaces are served in turn',
			waiting: [{id: 'a1', workspace: 'a', target: 100}, {id: 'a2', workspace: 'a', target: 110}, {id: 'b', workspace: 'b', target: 900}],
			order: ['a1', 'b', 'a2'],
		},
		{
			name: 'without targets, the earliest deadline goes first',
			waiting: [{id: 'later', target: undefined, deadline: 3000}, {id: 'earlier', target: undefined, deadline: 2000}] as never,
			order: ['earlier', 'later'],
		},
	];
	for (const {name, waiting, order} of cases) {
		it(name, () => {
			const queue = createWaitingQueue<typeof requestDefaults & {readonly id: string}>();
			for (const request of waiting) {
				queue.add({...requestDefaults, ...request});
			}

			expect(waiting.map(() => queue.take(10)?.id)).to.deep.equal(order);
		});
	}

	it('serves a preferred workspace first, but no workspace twice in a round', () => {
		const queue = createWaitingQueue<typeof requestDefaults>();
		for (const workspace of ['a', 'b', 'b']) {
			queue.add({...requestDefaults, workspace});
		}

		const takePreferred = () => queue.take(10, workspace => workspace === 'b')?.workspace;
		expect([takePreferred(), takePreferred(), takePreferred()]).to.deep.equal(['b', 'a', 'b']);
	});
});

describe('createWaitingQueue, refusals', () => {
	type Options = {
		readonly count: number;
		readonly timeoutMs: number;
		readonly serviceMs: number | undefined;
		/** Average for the priority of the requests. */
		readonly ownServiceMs?: number;
	};

	/** Adds requests to a queue that serves four at a time. Returns the times to come back of those that are refused. */
	const refuse = ({count, timeoutMs, serviceMs, ownServiceMs = serviceMs}: Options) => {
		const refused: Array<number | undefined> = [];
		const queue = createWaitingQueue<typeof requestDefaults & {readonly since: number}>({
			findPace: () => ({
				serviceMs, leastServiceMs: ownServiceMs, findServiceMs: () => ownServiceMs, limit: 4,
			}),
			onRefused(_, refusal) {
				refused.push(refusal.cause === 'overdue' ? refusal.retryAfterMs : undefined);
			},
		});
		for (let index = 0; index < count; index++) {
			queue.add({...requestDefaults, since: 0, deadline: timeoutMs});
		}

		return refused;
	};

	const cases: ReadonlyArray<{readonly name: string; readonly options: Options; readonly expected: number}> = [
		{name: 'none while fewer wait than are served at a time, however little time they have', options: {count: 4, timeoutMs: 1, serviceMs: 100}, expected: 0},
		{name: 'none while the pace is not known', options: {count: 500, timeoutMs: 400, serviceMs: undefined}, expected: 0},
		{name: 'none that can be served in time', options: {count: 12, timeoutMs: 400, serviceMs: 100}, expected: 0},
		{name: 'those behind as many as can be served in time', options: {count: 40, timeoutMs: 400, serviceMs: 100}, expected: 24},
		{
			name: 'none of a short kind that is slow on average only because of the others',
			options: {
				count: 40, timeoutMs: 400, serviceMs: 100, ownServiceMs: 10,
			},
			expected: 0,
		},
	];
	for (const {name, options, expected} of cases) {
		it(name, () => {
			expect(refuse(options)).to.have.length(expected);
		});
	}

	/** Requests wait in the priority 1 with 5 s, then another one comes at a queue that serves one at a time. */
	const orderCases: ReadonlyArray<{
		readonly name: string;
		readonly waiting: {readonly count: number; readonly target: number};
		readonly added: Omit<typeof requestDefaults, 'workspace'> & {readonly since: number};
		readonly expected: number;
	}> = [
		{
			name: 'one that is late when it comes, and so waits behind those on time',
			waiting: {count: 100, target: 4000},
			added: {
				priority: 1, since: 0, target: -10, deadline: 500,
			},
			expected: 1,
		},
		{
			name: 'none that goes before those that have become late while nothing was served',
			waiting: {count: 100, target: 1000},
			added: {
				priority: 1, since: 1500, target: 2100, deadline: 2300,
			},
			expected: 0,
		},
		{
			name: 'none that overtakes patient ones of a more urgent priority',
			waiting: {count: 30, target: 4900},
			added: {
				priority: 2, since: 0, target: 200, deadline: 200,
			},
			expected: 0,
		},
		{
			name: 'none that is served once its priority was passed over often enough',
			waiting: {count: 100, target: 900},
			added: {
				priority: 2, since: 0, target: 400, deadline: 600,
			},
			expected: 0,
		},
	];
	for (const {name, waiting: {count, target}, added, expected} of orderCases) {
		it(name, () => {
			const refused: object[] = [];
			const queue = createWaitingQueue<typeof requestDefaults & {readonly since: number}>({
				findPace: () => ({serviceMs: 10, limit: 1}),
				onRefused(request) {
					refused.push(request);
				},
			});
			for (let index = 0; index < count; index++) {
				queue.add({
					...requestDefaults, since: 0, target, deadline: 5000,
				});
			}

			queue.add({...requestDefaults, ...added});
			expect(refused).to.have.length(expected);
		});
	}

	const expiredCases = [
		{
			name: 'when it is taken, without a known beginning', since: undefined, isTaken: true, expected: [{cause: 'expired'}],
		},
		{
			name: 'when it is taken', since: 0, isTaken: true, expected: [{cause: 'expired', retryAfterMs: 20}],
		},
		{
			name: 'by its own timer, with the time of those before it', since: 0, isTaken: false, expected: [{cause: 'expired', retryAfterMs: 4000}],
		},
	];
	for (const {name, since, isTaken, expected} of expiredCases) {
		it(`name no count for one that waited to its deadline, and a time to come back if it had a known time: ${name}`, () => {
			const refusals: object[] = [];
			const queue = createWaitingQueue<typeof requestDefaults & {since: number | undefined}>({
				findPace: () => ({serviceMs: isTaken ? 10 : 1000, limit: 1}),
				onRefused(_, refusal) {
					refusals.push(refusal);
				},
			});
			const request = {...requestDefaults, since};
			if (isTaken) {
				queue.add(request);
				expect(queue.take(request.deadline)).to.equal(undefined);
			} else {
				// It is known to wait behind these after it was added.
				queue.add(request);
				for (let index = 0; index < 4; index++) {
					queue.add({...requestDefaults, since: undefined, priority: 0});
				}

				queue.expire(request, request.deadline);
				queue.expire(request, request.deadline);
			}

			expect(refusals).to.deep.equal(expected);
		});
	}

	it('let callers come back one after another', () => {
		const delays = refuse({count: 40, timeoutMs: 400, serviceMs: 100});
		const gaps = delays.slice(1).map((delay, index) => (delay ?? 0) - (delays[index] ?? 0));
		expect(gaps.every(gap => gap >= 25)).to.equal(true);
	});

	it('refuse waiting requests when the pace falls, as when an instance turns six times slower', () => {
		let serviceMs = 10;
		const refused: string[] = [];
		const queue = createWaitingQueue<typeof requestDefaults & {readonly since: number}>({
			findPace: () => ({serviceMs, limit: 1}),
			onRefused(_, {cause}) {
				refused.push(cause);
			},
		});
		for (let index = 0; index < 90; index++) {
			queue.add({...requestDefaults, since: 0, deadline: 1000});
		}

		expect(refused).to.have.length(0);
		serviceMs = 60;
		queue.take(100);
		expect(new Set(refused)).to.deep.equal(new Set(['overdue']));
		expect(queue.count()).to.be.within(10, 20);
	});
});

describe('createWaitingQueue, properties', () => {
	/** Fixed seed, so that each run checks the same cases. */
	const parameters = {seed: 51_007, numRuns: 200};
	const event = fc.record({
		kind: fc.constantFrom('add', 'add', 'take', 'remove'),
		workspace: fc.constantFrom('a', 'b', 'c'),
		priority: fc.nat(3),
		targetMs: fc.nat(300),
		timeoutMs: fc.nat(900),
		elapsedMs: fc.nat(30),
		index: fc.nat(50),
	});

	it('each request is taken, removed or refused exactly once', () => {
		fc.assert(fc.property(fc.array(event, {maxLength: 150}), events => {
			const added: object[] = [];
			const ended: object[] = [];
			const queue = createWaitingQueue<typeof requestDefaults & {readonly since: number}>({
				findPace: () => ({serviceMs: 40, limit: 2}),
				onRefused(request) {
					ended.push(request);
				},
			});
			const present: Array<Parameters<typeof queue.remove>[0]> = [];
			let now = 0;
			for (const {kind, workspace, priority, targetMs, timeoutMs, elapsedMs, index} of events) {
				now += elapsedMs;
				const request = {
					workspace, priority, since: now, target: now + targetMs, deadline: now + timeoutMs,
				};
				if (kind === 'add') {
					added.push(request);
					present.push(request);
					queue.add(request);
				} else if (kind === 'take') {
					ended.push(...[queue.take(now)].filter(taken => taken !== undefined));
				} else {
					const removed = present[index % Math.max(1, present.length)];
					ended.push(...removed !== undefined && queue.remove(removed) ? [removed] : []);
				}
			}

			for (let taken = queue.take(now); taken !== undefined; taken = queue.take(now)) {
				ended.push(taken);
			}

			expect(queue.count()).to.equal(0);
			expect(ended).to.have.members(added);
		}), parameters);
	});

	it('no priority and no workspace starves: each waiting request is taken within a bounded number of takes', () => {
		fc.assert(fc.property(fc.nat(3), fc.nat(500), (priority, targetMs) => {
			const queue = createWaitingQueue<typeof requestDefaults & {readonly isWatched: boolean}>();
			const add = (isWatched: boolean, request: Partial<typeof requestDefaults>) => {
				queue.add({
					...requestDefaults, deadline: 1_000_000, isWatched, ...request,
				});
			};

			add(true, {priority, target: targetMs, workspace: 'watched'});
			let takes = 0;
			for (let isTaken = false; !isTaken; takes++) {
				for (const other of [0, 1, 2, 3]) {
					add(false, {priority: other, target: targetMs + 10, workspace: 'others'});
				}

				isTaken = queue.take(10)?.isWatched ?? false;
				expect(takes).to.be.below(200);
			}
		}), parameters);
	});

	it('findWait counts what is served before a request', () => {
		const arrival = fc.record({workspace: fc.constantFrom<string>('a', 'b', 'c'), target: fc.integer({min: 500, max: 900})});
		fc.assert(fc.property(fc.uniqueArray(arrival, {minLength: 1, maxLength: 40, selector: ({target}) => target}), arrivals => {
			const queue = createWaitingQueue<typeof requestDefaults>({findPace: () => ({serviceMs: 1, limit: 1})});
			const requests = arrivals.map(request => ({...requestDefaults, ...request}));
			for (const request of requests) {
				queue.add(request);
			}

			const predicted = new Map(requests.map(request => [request, queue.findWait(request)]));
			const order = requests.map(() => queue.take(10));
			expect(order.map(request => predicted.get(request!))).to.deep.equal(order.map((_, index) => index + 1));
		}), parameters);
	});
});
