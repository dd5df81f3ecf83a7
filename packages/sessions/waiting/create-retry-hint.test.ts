import {expect} from 'chai';
import {createStatementTrace} from '../create-statement-trace.ts';
import type {JobAnswer} from '../job-answer.ts';
import {openTransaction} from '../open-transaction.ts';
import type {Operation} from '../operation.ts';
import {runRead} from '../run-read.ts';
import {runWrite} from '../run-write.ts';
import type {StatementOutcome} from '../statement-outcome.ts';

const full = (retryAfterMs?: number): JobAnswer => ({kind: 'notSent', reason: 'no connection in time', ...retryAfterMs !== undefined && {retryAfterMs}});
const query = {id: '1', text: 'x', execute: undefined};

const runners = {
	read: async (operation: Operation) => runRead({...query, access: 'read'}, operation),
	write: async (operation: Operation) => runWrite({...query, access: 'write'}, operation),
	async begin(operation: Operation) {
		const result = await openTransaction(operation, false);
		return result.kind === 'failed' ? result.outcome : undefined;
	},
} as const satisfies Record<string, (operation: Operation) => Promise<StatementOutcome | undefined>>;

type Case = {
	readonly name: string;
	readonly kind: keyof typeof runners;
	/** Answers of the replicas and of the primary `p`. */
	readonly answers: Readonly<Record<string, JobAnswer>>;
	readonly tried: readonly string[];
	readonly retryAfterMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'a write that the primary has no room for is not attempted again', kind: 'write', answers: {p: full(730)}, tried: ['p'], retryAfterMs: 730,
	},
	{
		name: 'a write is attempted again as before if no time to come back is known', kind: 'write', answers: {p: full()}, tried: ['p', 'p', 'p', 'p'], retryAfterMs: 100,
	},
	{
		name: 'a transaction that the primary has no room for is not attempted again', kind: 'begin', answers: {p: full(730)}, tried: ['p'], retryAfterMs: 730,
	},
	{
		name: 'a read that one instance has no room for is tried at the others, and names the earliest room',
		kind: 'read',
		answers: {a: full(400), b: full(250), p: full(900)},
		tried: ['a', 'b', 'p'],
		retryAfterMs: 250,
	},
];

describe('createRetryHint', () => {
	for (const {name, kind, answers, tried, retryAfterMs} of cases) {
		it(name, async () => {
			const sent: string[] = [];
			const instances = Object.entries(answers).map(([id, answer]) => ({
				listed: () => ({id}),
				async run() {
					sent.push(id);
					return {answer};
				},
			}));
			const primary = {kind: 'leased', instance: 'p', epoch: 1} as const;
			const outcome = await runners[kind]({
				context: {now: () => ({steady: 0, wall: 0}), transactionIdleLimit: () => 1000},
				group: {
					primary: () => primary,
					waitForPrimary: async () => primary,
					findInstance: (wanted: string) => instances.find(({listed}) => listed().id === wanted),
					findRequiredPosition: () => ({term: 1, position: 1n}),
					listReaders: () => instances.filter(({listed}) => listed().id !== 'p'),
					findLogMark: () => undefined,
					findNewestPosition: () => undefined,
				},
				route: {
					freshness: 'bounded', maxStaleness: 5000, targetLatency: 200, priority: 1,
				},
				arrivedAt: {steady: 0, wall: 0},
				deadline: 1000,
				isAllowed: () => true,
				findAllowedRegions: () => undefined,
				mayReachZone: () => true,
				setMayTakeEffect: () => undefined,
				lastWrite: () => undefined,
				trace: createStatementTrace(),
			} as unknown as Operation);
			expect(sent).to.deep.equal(tried);
			expect(outcome).to.deep.include({kind: 'failed', code: 'busy'});
			expect(outcome).to.have.property('reason').that.matches(new RegExp(`retry after ${retryAfterMs} ms$`, 'v'));
		});
	}
});
