import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {decodeReport, EndpointService, type FenceResponse} from '@sapphirefall/wire';
import type {FailoverClient} from './failover-client.ts';

/**
 * Creates the commander of one instance.
 *
 * @param address URL of the instance.
 * @param timeout Milliseconds to wait for an answer.
 */
export function createFailoverClient(address: string, timeout: number): FailoverClient {
	// A failed session must not delay the next command, so each has its own.
	const createOnce = () => createClient(EndpointService, createConnectTransport({baseUrl: address, httpVersion: '2'}));
	const options = {timeoutMs: timeout};
	return {
		fence: async (term, owner) => decodeAnswer(await createOnce().fence({term, owner}, options)),
		promote: async (term, owner) => decodeAnswer(await createOnce().promote({term, owner}, options)),
		follow: async (term, {id, address: primaryAddress}) =>
			decodeAnswer(await createOnce().follow({term, primary: id, primaryAddress}, options)),
	};
}

function decodeAnswer(response: FenceResponse) {
	if (response.report === undefined) {
		throw new Error('The instance answered without a report');
	}

	return {isGranted: response.granted, report: decodeReport(response.report)};
}
