import type {LogPoint} from '@sapphirefall/decisions';
import {applySetup} from './apply-setup.ts';
import {encodeQuery} from './encode-query.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import type {PooledLink} from './pooled-link.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Query} from './query.ts';

type Options = {
	readonly send: InstanceRuntime['send'];
	readonly setup: SessionSetup;
	readonly query: Query;
	readonly after: LogPoint | undefined;
	readonly isInTransaction: boolean;
	/** Milliseconds. */
	readonly timeout: number;
	/** Asked just before the query is sent. */
	readonly maySend: () => boolean;
};

/** Runs query on a connection, after bringing that to the session's values. */
export async function runQuery(pooled: PooledLink, options: Options): Promise<JobAnswer> {
	const {
		send, setup, query, after, isInTransaction, timeout, maySend,
	} = options;
	const isReady = await applySetup(pooled, {
		setup, prepared: query.execute?.name, isInTransaction, send: async request => send(pooled, request, timeout),
	});
	if (!isReady) {
		pooled.link.close();
		return {kind: 'notSent', reason: 'the connection did not take the session\'s values'};
	}

	return maySend()
		? send(pooled, encodeQuery(query, {pooled, setup, after}), timeout)
		: notSentAnswer;
}
