import type {InstanceRequest} from '../instance-request.ts';
import type {InstanceRuntime} from '../instance-runtime.ts';

type Send = InstanceRuntime['send'];

/** Requests that set a connection up for a session, before its job is checked the last time. */
const setupKinds: ReadonlySet<InstanceRequest['kind']> = new Set(['reset', 'set', 'prepare']);

/**
 * Creates a sender of requests that sends no setup which `maySetUp` does not allow. The setup for a job is several requests,
 * and each of them may be answered late.
 */
export function createGuardedSend(send: Send, maySetUp: () => boolean): Send {
	return async (pooled, request, timeout) => setupKinds.has(request.kind) && !maySetUp()
		? {kind: 'lost', reason: 'the zone of the instance is evacuated'}
		: send(pooled, request, timeout);
}
