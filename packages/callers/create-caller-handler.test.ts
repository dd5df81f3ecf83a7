import {createServer, type Server} from 'node:http';
import {createServer as createServer2} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {expect} from 'chai';
import {createRefusal, resultCodes, type Request} from '@sapphirefall/decisions';
import {CallerService, ExecuteRequestSchema, type ExecuteRequest} from '@sapphirefall/wire';
import {createCallerHandler} from './create-caller-handler.ts';

const path = '/sapphirefall.v1.CallerService/Execute';
const maxRequestBytes = 2000;

async function * createRequests(ids: readonly string[]): AsyncGenerator<ExecuteRequest> {
	for (const requestId of ids) {
		yield create(ExecuteRequestSchema, {requestId});
	}
}

describe('createCallerHandler', () => {
	let server: Server;
	const seen: {url: string; handled: Request[]} = {url: '', handled: []};

	before(async () => {
		server = createServer(createCallerHandler({
			async handle(request) {
				seen.handled.push(request);
				return {answer: createRefusal(resultCodes.keyUnknown, {reason: 'the key was withdrawn or never given'}), session: ''};
			},
			maxRequestBytes,
			createRequestId: () => 'generated',
		}));
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		seen.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(() => {
		server.closeAllConnections();
		server.close();
	});

	beforeEach(() => {
		seen.handled = [];
	});

	const cases: ReadonlyArray<readonly [string, string, number, number]> = [
		['text that is not JSON', '{"database":', resultCodes.malformed, 0],
		['an unknown field', '{"colour":"red"}', resultCodes.malformed, 0],
		['a field of the wrong type', '{"statements":"SELECT 1"}', resultCodes.malformed, 0],
		['a number that is out of range', '{"deadlineMs":-1}', resultCodes.malformed, 0],
		['a request that is too large', JSON.stringify({database: 'x'.repeat(maxRequestBytes)}), resultCodes.tooLarge, 0],
		['a valid request', '{"database":"pondbook","read":{"freshness":"latest"}}', resultCodes.keyUnknown, 1],
	];
	for (const [title, body, code, count] of cases) {
		it(`answers ${title} as not run with code ${code}`, async () => {
			const response = await fetch(`${seen.url}${path}`, {
				method: 'POST', body, headers: {'content-type': 'application/json', authorization: 'Bearer Secret-Key'},
			});
			const answer = await response.json() as {readonly notRun?: {readonly code: number}};
			expect(answer.notRun?.code).to.equal(code);
			expect(seen.handled).to.have.length(count);
		});
	}

	it('answers the requests of a stream by their identifiers, fast ones before slow ones, even if another one fails', async () => {
		const answered: string[] = [];
		const streams = createServer2(createCallerHandler({
			async handle(request) {
				await sleep(request.requestId === 'slow' ? 100 : 0);
				if (request.requestId === 'broken') {
					throw new Error('the host failed');
				}

				return {answer: createRefusal(resultCodes.keyUnknown, {reason: request.requestId}), session: ''};
			},
			maxRequestBytes,
			createRequestId: () => 'generated',
		}));
		await new Promise<void>(resolve => {
			streams.listen(0, '127.0.0.1', resolve);
		});
		const {port} = streams.address() as AddressInfo;
		const sessionManager = new Http2SessionManager(`http://127.0.0.1:${port}`);
		const client = createClient(CallerService, createConnectTransport({
			baseUrl: `http://127.0.0.1:${port}`, httpVersion: '2', sessionManager,
		}));
		for await (const {requestId, answer} of client.converse(createRequests(['slow', 'broken', 'quick']))) {
			answered.push(requestId);
			expect(answer.value).to.include(requestId === 'broken'
				? {code: resultCodes.answerLost}
				: {reason: requestId});
		}

		expect(answered.toSorted()).to.deep.equal(['broken', 'quick', 'slow']);
		expect(answered.at(-1)).to.equal('slow');
		sessionManager.abort();
		streams.close();
	});

	it('passes on a digest instead of the key', async () => {
		await fetch(`${seen.url}${path}`, {method: 'POST', body: '{}', headers: {'content-type': 'application/json', authorization: 'Bearer Secret-Key'}});
		expect(JSON.stringify(seen.handled)).to.not.include('Secret-Key');
		expect(seen.handled[0]?.keyDigest).to.match(/^[0-9a-f]{64}$/v);
	});
});
