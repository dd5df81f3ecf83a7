import {create} from '@bufbuild/protobuf';
import {formatFreshness, type AdmittedRequest} from '@sapphirefall/decisions';
import {
	encodeStatement, ForwardedReadSchema, ForwardedWriteSchema, ForwardRequestSchema, type ForwardRequest,
} from '@sapphirefall/wire';

/**
 * Encodes an admitted request that is forwarded to its gateway.
 *
 * @param options Number of the request on the channel, hybrid logical time of the sender, and monotonic time in
 * milliseconds, from which the remaining time of the request is computed.
 */
export function encodeForward(
	request: AdmittedRequest,
	options: {readonly id: number; readonly time: bigint; readonly now: number},
): ForwardRequest {
	const {
		requestId, workspace, database, cost, work, statements,
	} = request;
	return create(ForwardRequestSchema, {
		id: options.id,
		time: options.time,
		requestId,
		workspace,
		database,
		cost,
		statements: statements.map(statement => encodeStatement(statement)),
		patienceMs: Math.max(1, Math.floor(request.deadline - options.now)),
		work: work.kind === 'read'
			? {
				case: 'read',
				value: create(ForwardedReadSchema, {
					freshness: formatFreshness(work.freshness),
					...(work.point === undefined ? {} : {point: work.point}),
				}),
			}
			: {case: 'write', value: create(ForwardedWriteSchema, {idempotencyKey: work.idempotencyKey})},
	});
}
