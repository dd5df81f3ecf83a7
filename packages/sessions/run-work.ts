import type {LogPoint} from '@sapphirefall/decisions';
import {applySetup} from './apply-setup.ts';
import {encodeWork} from './encode-work.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Operation} from './operation.ts';
import type {PooledLink} from './pooled-link.ts';
import type {Work} from './work.ts';

type Options = {
	readonly operation: Operation;
	readonly instance: InstanceRuntime;
	readonly work: Work;
	readonly after: LogPoint | undefined;
	readonly isInTransaction: boolean;
	/** Milliseconds. */
	readonly timeout: number;
	/** Asked just before the work is sent. */
	readonly maySend: () => boolean;
};

/** The answer to work, or that it was never sent. */
type WorkAnswer = InstanceAnswer | {readonly kind: 'notSent'};

/** Runs work on a connection, after bringing that to the session's values. */
export async function runWork(pooled: PooledLink, options: Options): Promise<WorkAnswer> {
	const {operation, instance, work, after, isInTransaction, timeout, maySend} = options;
	const {setup, context} = operation;
	const isReady = await applySetup(pooled, {
		setup, prepared: work.execute?.name, isInTransaction, send: async request => instance.send(pooled, request, timeout),
	});
	if (!isReady) {
		pooled.link.close();
		return {kind: 'notSent'};
	}

	if (!maySend() || operation.deadline <= context.now().steady) {
		return {kind: 'notSent'};
	}

	return instance.send(pooled, encodeWork(work, {pooled, setup, after}), timeout);
}
