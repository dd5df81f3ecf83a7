import type {CallConnection} from './call-connection.ts';
import type {CallOptions} from './call-options.ts';
import {openCallConnection} from './open-call-connection.ts';

/**
 * Creates a way to call another host: one connection, which opens at the first call.
 *
 * When that connection is closed, or left a call unanswered, the next call opens another one. Calls that are still open
 * on the old one may be answered there, since the other host may only have been slow.
 */
export function createCallChannel<Response extends {readonly id: number}>(options: CallOptions<Response>): CallConnection<Response>['call'] {
	let connection: CallConnection<Response> | undefined;
	return async (encode, limits) => {
		if (connection === undefined || connection.isDoubtful()) {
			connection?.retire();
			connection = openCallConnection(options);
		}

		return connection.call(encode, limits);
	};
}
