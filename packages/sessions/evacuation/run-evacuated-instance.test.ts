import {expect} from 'chai';
import {createInstanceRuntime} from '../create-instance-runtime.ts';
import type {Gateways} from '../gateways.ts';
import type {Job} from '../job.ts';
import {isJobAllowed} from './is-job-allowed.ts';
import type {ZonePhase} from './zone-phase.ts';

const listed = {
	id: 'i-1', group: 'pondbook', host: '127.0.0.1', port: 9, zone: 'a', slots: 5, isDeparting: false, role: 'replica',
} as const;

describe('createInstanceRuntime, for an instance of an evacuated zone', () => {
	const base = {
		workspace: 'upper', priority: 1, caller: {database: 'ponds', keyDigest: 'd'}, timeout: 1000,
	};
	const setup = {variables: new Map([['a', '1']]), prepared: new Map()};
	const begin: Job = {
		...base, kind: 'begin', setup, isReadOnly: true, after: undefined, idleLimit: 60_000,
	};

	/** Creates a runtime with one connection, on which a transaction is open; the zone is in a phase that the test sets. */
	const createOpen = async () => {
		const sent: string[] = [];
		const zone: {phase: ZonePhase} = {phase: 'open'};
		let isClosed = false;
		const runtime = createInstanceRuntime(listed, {
			openConnection: async () => ({
				kind: 'opened',
				connection: {
					async send({kind}) {
						sent.push(kind);
						return {
							kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: kind === 'begin' ? 'open' : 'idle', position: undefined,
						};
					},
					close() {
						isClosed = true;
					},
					isClosed: () => isClosed,
				},
			}),
			gateways: {count: () => 1} as Gateways, // eslint-disable-line @typescript-eslint/consistent-type-assertions -- no other gateway is used
			limit: 1,
			mayRun: kind => isJobAllowed(kind, {phase: zone.phase, isPrimary: false}),
			now: () => 0,
		});
		const answer = await runtime.runLocally(begin, () => true);
		const transaction = answer.kind === 'answered' ? answer.transaction ?? 0 : 0;
		sent.length = 0;
		return {
			runtime, sent, zone, transaction, isClosed: () => isClosed,
		};
	};

	// Guards against a job that another host sent before it knew of the evacuation and that was held up on its way.
	it('sends nothing of a new job, and lets an open transaction commit', async () => {
		const {runtime, sent, zone, transaction} = await createOpen();
		zone.phase = 'leaving';
		expect(await runtime.runLocally(begin, () => true)).to.include({kind: 'notSent'});
		expect(await runtime.runLocally({kind: 'position', workspace: 'upper'}, () => true)).to.include({kind: 'notSent'});
		expect(sent).to.deep.equal([]);
		const committed = await runtime.runLocally({
			...base, kind: 'commit', transaction, id: '1', text: 'COMMIT',
		}, () => true);
		expect({committed: committed.kind, sent}).to.deep.equal({committed: 'answered', sent: ['forward']});
	});

	// Guards against the session's values being set up for a job that has waited until the zone was evacuated.
	it('sends nothing of a job that got its connection after the evacuation', async () => {
		const {runtime, sent, zone, transaction} = await createOpen();
		const waiting = runtime.runLocally({...begin, setup: {...setup, variables: new Map([['a', '2']])}}, () => true);
		zone.phase = 'leaving';
		await runtime.runLocally({kind: 'rollback', transaction}, () => true);
		expect(await waiting).to.include({kind: 'notSent'});
		expect(sent).to.deep.equal(['rollback']);
	});

	// Guards against an instance that answers one setup statement late, so that the next one would be sent after the limit.
	it('sends no further setup statement once the zone is closed', async () => {
		const {runtime, sent, zone, transaction} = await createOpen();
		await runtime.runLocally({kind: 'rollback', transaction}, () => true);
		sent.length = 0;
		const running = runtime.runLocally({...begin, setup: {...setup, variables: new Map([['b', '1']])}}, () => true);
		while (sent.length === 0) {
			await Promise.resolve(); // eslint-disable-line no-await-in-loop -- waits until the first setup statement is sent
		}

		zone.phase = 'closed';
		expect(await running).to.include({kind: 'notSent'});
		expect(sent).to.deep.equal(['reset']);
	});

	const ends = [
		{
			name: 'rolls back idle transactions before the limit', phase: 'ending', sent: ['rollback'], isClosed: false,
		},
		{
			name: 'closes the connections of transactions that end after the limit', phase: 'closed', sent: [], isClosed: true,
		},
	] as const;
	for (const {name, phase, sent: expected, isClosed: isClosedAfter} of ends) {
		it(`${name}, so that a commit is not sent`, async () => {
			const {runtime, sent, zone, transaction, isClosed} = await createOpen();
			zone.phase = phase;
			runtime.endIdleTransactions(phase === 'ending');
			zone.phase = 'open';
			expect(await runtime.runLocally({
				...base, kind: 'commit', transaction, id: '1', text: 'COMMIT',
			}, () => true)).to.include({kind: 'notSent'});
			expect({sent, isClosed: isClosed()}).to.deep.equal({sent: expected, isClosed: isClosedAfter});
		});
	}
});
