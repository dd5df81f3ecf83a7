import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {decodeReport, EndpointService, type FenceResponse} from '@sapphirefall/wire';
import type {FailoverClient} from './failover-client.ts';

/**
 * Creates a client that sends failover commands to one instance.
 *
 * @param address URL of the instance.
 * @param timeoutMs Milliseconds to wait for an answer.
 */
export function createFailoverClient(address: string, timeoutMs: number): FailoverClient {
	// Each command opens its own HTTP/2 session, so that a failed session does not delay the next command.
	const createSingleUseClient = () => createClient(EndpointService, createConnectTransport({baseUrl: address, httpVersion: '2'}));
	const options = {timeoutMs};
	return {
		fence: async (term, owner) => decodeAnswer(await createSingleUseClient().fence({term, owner}, options)),
		promote: async (term, owner) => decodeAnswer(await createSingleUseClient().promote({term, owner}, options)),
		follow: async (term, {id, address: primaryAddress}) =>
			decodeAnswer(await createSingleUseClient().follow({term, primary: id, primaryAddress}, options)),
	};
}

function decodeAnswer(response: FenceResponse) {
	if (response.report === undefined) {
		throw new Error('The instance answered a failover command without a report');
	}

	return {isGranted: response.granted, report: decodeReport(response.report)};
}
