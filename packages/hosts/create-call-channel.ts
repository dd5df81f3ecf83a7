import type {CallConnection} from './call-connection.ts';
import type {CallOptions} from './call-options.ts';
import {openCallConnection} from './open-call-connection.ts';

/**
 * Creates a function that calls another host over one connection, which is opened on the first call.
 *
 * Once that connection is closed, is no longer read, has no call numbers left or has left a call unanswered, the next call
 * opens a new one.
 * The old connection stays open until its open calls end, since the other host may only be slow.
 */
export function createCallChannel<Response extends {readonly id: number}>(options: CallOptions<Response>): CallConnection<Response>['call'] {
	let connection: CallConnection<Response> | undefined;
	return async (encode, limits) => {
		if (connection === undefined || connection.isDueForReplacement()) {
			connection?.drain();
			connection = openCallConnection(options);
		}

		return connection.call(encode, limits);
	};
}
