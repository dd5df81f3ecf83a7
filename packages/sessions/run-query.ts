import type {LogPoint} from '@sapphirefall/decisions';
import {encodeQuery} from './encode-query.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import {notSentAnswer} from './not-sent-answer.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import {sendSetup} from './send-setup.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Query} from './query.ts';

type Options = {
	readonly send: InstanceRuntime['send'];
	readonly setup: SessionSetup;
	readonly query: Query;
	readonly after: LogPoint | undefined;
	readonly isInTransaction: boolean;
	/** Milliseconds to wait for each answer of the instance. */
	readonly timeout: number;
	/** Called immediately before the query is sent; the query is not sent if it returns false. */
	readonly maySend: () => boolean;
};

/** Runs a query on a connection after applying the session's setup; closes the connection if that fails. */
export async function runQuery(pooled: PooledConnection, options: Options): Promise<JobAnswer> {
	const {
		send, setup, query, after, isInTransaction, timeout, maySend,
	} = options;
	const failure = await sendSetup(pooled, {
		setup, prepared: query.execute?.name, isInTransaction, send, timeout,
	});
	if (failure !== undefined) {
		return failure;
	}

	return maySend()
		? send(pooled, encodeQuery(query, {pooled, setup, after}), timeout)
		: notSentAnswer;
}
