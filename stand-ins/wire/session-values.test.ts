import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createMixedRandom} from './create-mixed-random.ts';
import {describeValues} from './describe-values.ts';
import {openWireClient} from './open-wire-client.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireClient} from './wire-client.ts';
import type {WireDeployment} from './wire-deployment.ts';

const hostCount = 3;
const sessionsPerHost = 6;
const operationsPerSession = 25;

/** Most statements of a transaction between its begin and its end. */
const maxTransactionLength = 6;

/** Names of values; few, so that they are the same in many sessions. */
const names = ['a', 'b', 'c'];

/** Fixed seed, so that each run sends the same statements. */
const seed = 52_010;

/** Values that were acknowledged to a session when it sent a statement, by the id of the statement. */
type ExpectedValues = Map<string, ReadonlyMap<string, string>>;

/** Draws the texts of a session's next operation: one statement, or a transaction with values set at any place. */
function drawOperation(random: () => number, database: string): readonly string[] {
	const draw = <Value>(values: readonly [Value, ...Value[]]): Value => values[Math.floor(random() * values.length)] ?? values[0];
	const canWrite = database === 'latest';
	const drawStatement = () => draw([`SET ${names[Math.floor(random() * names.length)]} v${random()}`, 'READ item', canWrite ? 'WRITE item data' : 'READ item']);
	if (random() < 0.4) {
		return [drawStatement()];
	}

	const statements = Array.from({length: Math.floor(random() * (maxTransactionLength + 1))}, drawStatement);
	return [canWrite ? draw(['BEGIN', 'BEGIN READ']) : 'BEGIN READ', ...statements, draw(['COMMIT', 'COMMIT', 'COMMIT', 'ROLLBACK'])];
}

/** Runs drawn operations in a session, some of them sent ahead in one packet. */
async function runSession(client: WireClient, {random, database, expected}: {readonly random: () => number; readonly database: string; readonly expected: ExpectedValues}): Promise<void> {
	await client.started;
	const values = new Map<string, string>();
	for (let operation = 0; operation < operationsPerSession; operation++) {
		const statements = drawOperation(random, database).map(text => ({id: randomUUID(), text}));
		const messages = statements.map(({id, text}) => `QUERY ${id} ${text}\r\n`);
		const answers = random() < 0.5 ? client.sendTogether(messages) : undefined;
		for (const [index, {id, text}] of statements.entries()) {
			expected.set(id, new Map(values));
			const {result} = await (answers?.[index] ?? client.send(messages[index] ?? '')); // eslint-disable-line no-await-in-loop -- statements of a session run one after another
			const [command, name = '', value = ''] = text.split(' ');
			if (command === 'SET' && result.startsWith('COMPLETE')) {
				values.set(name, value);
			}
		}
	}

	client.close();
}

describe('session values over the wire protocol', () => {
	let deployment: WireDeployment;

	before(async () => {
		deployment = await startWireDeployment({hostCount, lag: 20});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	after(() => {
		deployment.stop();
	});

	// Guards against a COMMIT that runs with earlier values than those acknowledged to its client (review/10).
	it('are those of the session for each statement that runs, wherever in a transaction they are set', async () => {
		const expected: ExpectedValues = new Map();
		const sessions = deployment.hosts.flatMap(({port}, host) => Array.from({length: sessionsPerHost}, async (_, index) => {
			const database = index % 3 === 0 ? 'own' : 'latest';
			const random = createMixedRandom(seed + (host * sessionsPerHost) + index);
			await runSession(openWireClient(port, {database, key: 'good'}), {random, database, expected});
		}));
		await Promise.all(sessions);
		const executed = deployment.instances.flatMap(instance => instance.executedStatements()).filter(({id}) => expected.has(id));
		const compared = executed.map(({id, text, variables}) => ({text, ran: describeValues(variables), acknowledged: describeValues(expected.get(id) ?? new Map())}));
		expect(compared.filter(({ran, acknowledged}) => ran !== acknowledged)).to.deep.equal([]);
		expect(executed.filter(({text}) => text === 'COMMIT')).to.have.length.above(hostCount * operationsPerSession);
	});
});
