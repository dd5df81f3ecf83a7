import type {LogPoint} from '@sapphirefall/decisions';
import {findMark} from './find-mark.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Query} from './query.ts';

/**
 * Encodes a query as a request on a connection.
 *
 * A prepared statement is executed by its name on that connection. Without such a name the original text is forwarded.
 */
export function encodeQuery(query: Query, {pooled, setup, after}: {readonly pooled: PooledConnection; readonly setup: SessionSetup; readonly after: LogPoint | undefined}): InstanceRequest {
	const {id, text, execute} = query;
	const statement = execute && setup.prepared.get(execute.name);
	const name = statement && pooled.prepared.get(findMark(`${statement.access} ${statement.shape}`));
	return execute === undefined || name === undefined
		? {
			kind: 'forward', id, text, after,
		}
		: {
			kind: 'execute', id, name, parameters: execute.parameters, after,
		};
}
