import {expect} from 'chai';
import {createInstanceRuntime} from './create-instance-runtime.ts';
import type {Gateways} from './gateways.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

const listed = {
	id: 'i-1', group: 'pondbook', host: '127.0.0.1', port: 9, zone: 'a', slots: 5, isDeparting: false, role: 'replica',
} as const;

describe('createInstanceRuntime', () => {
	// Guards against an exception of one request that ends the process, as a rejection that nobody waits for.
	it('counts an answer as lost, and closes the connection, when the request fails with an exception', async () => {
		let isClosed = false;
		const pooled: PooledConnection = {
			connection: {
				async send() {
					throw new Error('cannot be sent');
				},
				close() {
					isClosed = true;
				},
				isClosed: () => isClosed,
			},
			workspace: 'upper', variables: new Map(), prepared: new Map(), isBusy: true, idleSince: 0,
		};
		const runtime = createInstanceRuntime(listed, {
			openConnection: async () => ({kind: 'unanswered'}), gateways: {} as Gateways, limit: 1, now: () => 0, // eslint-disable-line @typescript-eslint/consistent-type-assertions -- no gateway is used
		});
		expect(await runtime.send(pooled, {kind: 'status'}, 100)).to.deep.equal({kind: 'lost', reason: 'The request failed: cannot be sent'});
		expect(isClosed).to.equal(true);
		expect(runtime.health().failures).to.equal(1);
	});

	const refusals = [
		// Guards against a primary that is gone and counts as answering, since another instance answers at its address.
		{
			name: 'counts a refusal by another instance at its address as silence', code: 'moved', failures: 1, unansweredSince: 100, lastAnswerAt: 0,
		},
		{
			name: 'counts a refusal by a full instance as an answer', code: 'tooManyConnections', failures: 0, unansweredSince: undefined, lastAnswerAt: 100,
		},
		{
			name: 'counts a refusal by a busy instance as an answer', code: 'busy', failures: 0, unansweredSince: undefined, lastAnswerAt: 100,
		},
	] as const;
	for (const {name, code, failures, unansweredSince, lastAnswerAt} of refusals) {
		it(name, async () => {
			let at = 0;
			const runtime = createInstanceRuntime(listed, {
				openConnection: async () => ({kind: 'refused', code}), gateways: {} as Gateways, limit: 1, now: () => at, // eslint-disable-line @typescript-eslint/consistent-type-assertions -- no gateway is used
			});
			at = 100;
			await runtime.pool.acquire({workspace: 'upper', priority: 0, timeout: 0});
			expect(runtime.health()).to.include({failures, unansweredSince, lastAnswerAt});
		});
	}
});
