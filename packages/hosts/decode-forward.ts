import {parseFreshness, type AdmittedRequest} from '@sapphirefall/decisions';
import {decodePoint, decodeStatement, type ForwardRequest} from '@sapphirefall/wire';

/**
 * Decodes a request that another host has admitted; undefined if it contains neither a valid read nor a write.
 *
 * The arrival time is set to `now`, which is later than the arrival at the other host. A confirmation as of `now` or later
 * therefore also covers the arrival at the other host.
 */
export function decodeForward(message: ForwardRequest, now: number): AdmittedRequest | undefined {
	const work = decodeWork(message.work);
	return work === undefined
		? undefined
		: {
			requestId: message.requestId,
			workspace: message.workspace,
			database: message.database,
			statements: message.statements.map(statement => decodeStatement(statement)),
			work,
			cost: message.cost,
			arrivedAt: now,
			deadline: now + message.patienceMs,
		};
}

function decodeWork(work: ForwardRequest['work']): AdmittedRequest['work'] | undefined {
	if (work.case === 'write') {
		return {kind: 'write', idempotencyKey: work.value.idempotencyKey};
	}

	const freshness = parseFreshness(work.value?.freshness ?? '');
	return freshness === undefined
		? undefined
		: {kind: 'read', freshness, point: work.value?.point === undefined ? undefined : decodePoint(work.value.point)};
}
