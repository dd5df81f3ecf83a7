import {setTimeout as sleep} from 'node:timers/promises';
import {busyStatus} from './_busy-status.ts';
import {failoverTimes} from './_failover-times.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

/** Creates an instance of which only its status and its entry are asked for. */
export function createStatusInstance(id: string, readStatus: () => string | undefined, readEntry: () => Partial<ListedInstance>): InstanceRuntime {
	const connection: PooledConnection = {
		connection: {
			send: async () => ({kind: 'lost', reason: ''}),
			close: () => undefined,
			isClosed: () => false,
		},
		workspace: 'upper',
		variables: new Map(),
		prepared: new Map(),
		isBusy: true,
		idleSince: 0,
	};
	const answer = (): InstanceAnswer => ({
		kind: 'answered',
		outcome: readStatus() === busyStatus ? {kind: 'failed', code: 'busy', reason: ''} : {kind: 'done', rows: [readStatus() ?? ''], signature: '-'},
		state: 'idle',
		position: undefined,
	});
	return {
		listed: () => ({
			id, group: 'pondbook', host: '', port: 0, zone: id, slots: 5, isDeparting: false, role: 'replica', ...readEntry(),
		}),
		checkGateway: () => undefined,
		update: () => undefined,
		isCold: () => false,
		health: () => ({
			latency: 30, hasAnswered: true, lastAnswerAt: 0, unansweredSince: readStatus() === undefined ? 0 : undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
		}),
		pool: {
			async acquire() {
				if (readStatus() !== undefined) {
					return {kind: 'acquired', connection, openMs: 0};
				}

				await sleep(failoverTimes.unreachableAfterMs);
				return {kind: 'unreachable'};
			},
			release: () => undefined,
			takeIdle: () => undefined,
			listIdleWorkspaces: () => new Set(),
			readLoad: () => ({
				busy: 0, idle: 0, waiting: 0, limit: 1,
			}),
			closeIdle: () => undefined,
			findLimit: () => 1,
			setLimit: () => undefined,
			close: () => undefined,
		},
		pace: {
			readLoad() {
				throw new Error('The test ranks no readers');
			},
			restart: () => undefined,
		},
		send: async () => answer(),
		run() {
			throw new Error('The test runs no jobs');
		},
		runLocally() {
			throw new Error('The test runs no jobs');
		},
		endIdleTransactions: () => undefined,
		recordLag: () => undefined,
	};
}
