import type {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {startInstanceGroup} from './start-instance-group.ts';

/** Milliseconds in which a commit that a replica may receive is acknowledged; an earlier primary steps down only later. */
const replicatedMs = 500;

/** Sends a write to an instance, and returns what it has answered some time after that. */
async function writeItem({port, id}: InstanceStandIn, sockets: Socket[]): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	sockets.push(socket);
	let answer = '';
	socket.on('data', (chunk: Buffer) => {
		answer += chunk.toString('latin1');
	});
	socket.write(`START pondbook upper ${id}\r\nQUERY x WRITE item value\r\n`);
	await sleep(replicatedMs);
	return answer;
}

type Case = {
	readonly name: string;
	/** Indexes of the instances that are cut off. */
	readonly cut: readonly number[];
	/** Whether the second instance was promoted while the first one was cut off. */
	readonly isPromoted: boolean;
	readonly isAcknowledged: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'once a replica has it', cut: [2], isPromoted: false, isAcknowledged: true,
	},
	{
		name: 'not while no replica receives it', cut: [1, 2], isPromoted: false, isAcknowledged: false,
	},
	// Guards against a commit that is acknowledged because an earlier primary, which receives nothing, sends its log.
	{
		name: 'not while the primary reaches only an earlier one', cut: [2], isPromoted: true, isAcknowledged: false,
	},
];

describe('startInstanceGroup', () => {
	let group: InstanceGroup;
	let sockets: Socket[];

	beforeEach(async () => {
		sockets = [];
		group = await startInstanceGroup({
			name: 'pondbook', zones: ['a', 'b', 'c'], idPrefix: 'i-', lag: 0, workMs: 0, isSynchronous: true, store: {put: () => undefined, delete: () => undefined},
		});
	});

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		group.close();
	});

	/** Lets the primary commit while others are cut off, perhaps after its promotion; returns whether the commit was acknowledged. */
	const isCommitAcknowledged = async ({cut, isPromoted}: Pick<Case, 'cut' | 'isPromoted'>) => {
		const [first, second] = group.instances;
		if (first === undefined || second === undefined) {
			throw new Error('The group has no two instances');
		}

		for (const instance of group.instances.filter((_, index) => cut.includes(index))) {
			group.setCut(instance, true);
		}

		if (isPromoted) {
			group.setCut(first, true);
			group.promote(second.id);
			group.setCut(first, false);
		}

		const answer = await writeItem(isPromoted ? second : first, sockets);
		return answer.includes('COMPLETE');
	};

	for (const {name, isAcknowledged, ...rest} of cases) {
		it(`acknowledges a commit ${name}, if its replicas are synchronous`, async () => {
			expect(await isCommitAcknowledged(rest)).to.equal(isAcknowledged);
		});
	}
});
