/* eslint-disable no-await-in-loop -- an ordinary request is tried again until it is answered */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createHostProgram} from './create-host-program.ts';
import {openWireClient} from './open-wire-client.ts';
import {openWireCrowd} from './open-wire-crowd.ts';
import {readProcessUse} from './read-process-use.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';
import type {WireHostOptions} from './wire-host-options.ts';
import type {WireHost} from './wire-host.ts';

/** What a machine has, by the settings of its host. */
const machine = {memoryMb: 160, descriptors: 600};

/** Descriptors that the operating system has where the settings say nothing of them. */
const systemDescriptors = 250;

const settings = [`limits.memory_mb=${machine.memoryMb}`, `limits.max_fds=${machine.descriptors}`];

/** Command-line argument of `deploy/system.toml` that limits a host's heap. */
const heapArgument = '--max-old-space-size=200';

/** Milliseconds until the hosts know each other and the primary. */
const settleMs = 1500;

/** Milliseconds for which a crowd stays before an ordinary request is sent beside it. */
const holdMs = 4000;

/** Milliseconds within which one of the tries of an ordinary request has to be answered. */
const answerLimitMs = 60_000;

/** Milliseconds after which a try of an ordinary request is given up. */
const tryTimeoutMs = 5000;

/** Milliseconds that a statement takes at an instance. */
const workMs = 20;

/** Operations a second of the workspace, more than the crowd's first statements, so that the rate spares no host its work. */
const ratePerSecond = 2000;

const start = Buffer.from('START latest good\r\n');

/** Bytes of the data of a large message, which is within the limit of 1 MiB. */
const largeBytes = 900_000;

const largeWrite = Buffer.from(`QUERY 1 WRITE large ${'x'.repeat(largeBytes)}\r\n`);

const repeat = (message: string, count: number) => Buffer.from(message.repeat(count));

/** The header of a frame of 8 MiB between hosts, and the first half of the frame. */
const halfFrame = Buffer.concat([Buffer.from([0, 0x80, 0, 0]), Buffer.alloc(4 * 1024 * 1024)]);

/** What a crowd does, and where. */
type Crowd = Parameters<typeof openWireCrowd>[1] & {
	/** Finds the port that the crowd connects to. Defaults to that of callers. */
	readonly findPort?: (host: WireHost) => number;
	/** Whether the crowd comes to all hosts but the first, which gets the ordinary request. Defaults to the first one alone. */
	readonly isElsewhere?: boolean;
};

type Case = Crowd & {
	readonly name: string;
	/** Hosts of the deployment. Defaults to 3, each of which has connections to all instances. */
	readonly hostCount?: number;
	/** Limits that the hosts are told of, or that the operating system sets. Defaults to the settings of the machine. */
	readonly machineLimits?: Pick<WireHostOptions, 'settings' | 'descriptorLimit'>;
};

const cases: readonly Case[] = [
	{
		name: 'messages of legal size, many at once, in one piece', count: 150, messages: [start, largeWrite], isReading: true,
	},
	{
		name: 'messages of legal size, many at once, in small pieces', count: 150, messages: [start, largeWrite], pieceBytes: 4096, isReading: true,
	},
	{
		name: 'messages of legal size, many at once, that hosts pass on to others', count: 60, messages: [start, largeWrite], isReading: true, hostCount: 8, isElsewhere: true,
	},
	{
		name: 'large answers that hosts pass on to others and nobody reads', count: 60, messages: [start, ...Array.from({length: 20}, () => Buffer.from('QUERY 1 READ large\r\n'))], isReading: false, hostCount: 8, isElsewhere: true,
	},
	{
		name: 'messages far over the limit', count: 300, messages: [start, Buffer.alloc(16_000_000, 'x')], isReading: true,
	},
	{
		name: 'messages far over the limit, of which only the limit is sent at first', count: 300, messages: [start, Buffer.alloc(1_048_000, 'x'), Buffer.alloc(2_000_000, 'x')], pieceBytes: 65_536, isReading: true,
	},
	{
		name: 'many small messages sent ahead without reading the answers', count: 400, messages: [start, repeat('QUERY 1 READ pond\r\n', 100_000)], isReading: false,
	},
	{
		name: 'many large messages sent ahead without reading the answers', count: 100, messages: [start, ...Array.from({length: 20}, () => largeWrite)], isReading: false,
	},
	{
		name: 'values of legal size, many of each session', count: 150, messages: [start, ...Array.from({length: 3}, (_, index) => Buffer.from(`QUERY 1 SET v${index} ${'x'.repeat(largeBytes)}\r\n`))], isReading: true,
	},
	{
		name: 'a crowd that stops half-way in large messages', count: 300, messages: [start, largeWrite.subarray(0, largeBytes / 2)], isReading: true,
	},
	{
		name: 'a crowd that stops half-way in small messages', count: 2000, messages: [start, largeWrite.subarray(0, 16_000)], isReading: true,
	},
	{
		name: 'a crowd that sends very slowly', count: 400, messages: [start, largeWrite.subarray(0, 500_000)], pieceBytes: 10_000, pauseMs: 100, isReading: true,
	},
	{
		name: 'a crowd that does not read large answers', count: 300, messages: [start, ...Array.from({length: 20}, () => Buffer.from('QUERY 1 READ large\r\n'))], isReading: false,
	},
	{
		name: 'connections that never start a session', count: 1000, messages: [], isReading: true,
	},
	{
		name: 'connections that stop within the message that starts a session', count: 1000, messages: [start.subarray(0, 10)], isReading: true,
	},
	{
		name: 'idle connections to the port for other hosts', count: 1000, messages: [], isReading: true, findPort: ({hostsPort}) => hostsPort,
	},
	{
		name: 'long frames that stop half-way at the port for other hosts', count: 100, messages: [halfFrame], isReading: true, findPort: ({hostsPort}) => hostsPort,
	},
	{
		name: 'idle connections to the port of the readiness check', count: 1000, messages: [], isReading: true, findPort: ({readyPort}) => readyPort,
	},
	{
		name: 'idle connections to the port of the metrics', count: 1000, messages: [], isReading: true, findPort: ({hostsPort}) => hostsPort + 1,
	},
	{
		name: 'more idle connections than the operating system has descriptors for', count: 1000, messages: [], isReading: true, machineLimits: {descriptorLimit: systemDescriptors},
	},
	{
		name: 'more idle connections to the port for other hosts than the operating system has descriptors for', count: 1000, messages: [], isReading: true, findPort: ({hostsPort}) => hostsPort, machineLimits: {descriptorLimit: systemDescriptors},
	},
];

/** Sends an ordinary request to a host until it is answered; returns the last result. */
async function sendOrdinaryRequest({port}: WireHost): Promise<string> {
	const limit = performance.now() + answerLimitMs;
	let result = '';
	while (performance.now() < limit) {
		const answer = await Promise.race([sendStatement({port, text: 'READ pond'}), sleep(tryTimeoutMs, undefined)]);
		result = answer?.result ?? 'no answer';
		if (result.startsWith('COMPLETE')) {
			return result;
		}

		await sleep(100);
	}

	return result;
}

/** Lists what a host has broken of its bounds. */
function listBreaches({name, process: {pid, exitCode, signalCode}}: WireHost): readonly string[] {
	if (pid === undefined || exitCode !== null || signalCode !== null) {
		return [`${name} has ended with ${exitCode ?? signalCode ?? ''}`];
	}

	const {peakMemoryMb, descriptors} = readProcessUse(pid);
	return [
		...peakMemoryMb > machine.memoryMb ? [`${name} took ${Math.round(peakMemoryMb)} MB of ${machine.memoryMb}`] : [],
		...descriptors > machine.descriptors ? [`${name} has ${descriptors} descriptors of ${machine.descriptors}`] : [],
	];
}

describe('hosts beside clients that nobody controls', () => {
	let program = '';
	before(() => {
		program = createHostProgram();
	});

	// Guards against limits on crowds that keep a caller within the rules from being served.
	it('serves messages of 1 MiB, one at a time, on machines with little memory', async () => {
		const deployment = await startWireDeployment({
			hostCount: 3, lag: 40, workMs, ratePerSecond, program, settings, nodeArguments: [heapArgument],
		});
		try {
			await deployment.waitUntilReady();
			await sleep(settleMs);
			const head = 'QUERY 1 WRITE large ';
			for (const {port} of deployment.hosts) {
				const client = openWireClient(port, {database: 'latest', key: 'good'});
				await client.started;
				const data = 'x'.repeat((1024 * 1024) - head.length);
				const written = await client.send(`${head}${data}\r\n`);
				const read = await client.query('READ large');
				expect(written.result).to.match(/^COMPLETE/v);
				expect(read.rows.map(({length}) => length)).to.deep.equal([data.length]);
				client.close();
			}
		} finally {
			deployment.stop();
		}
	});

	for (const {name, machineLimits = {settings}, hostCount = 3, ...crowd} of cases) {
		it(`live, keep to their machines and answer beside ${name}`, async () => { // eslint-disable-line @typescript-eslint/no-loop-func -- `before` sets the program
			const deployment = await startWireDeployment({
				hostCount, lag: 40, workMs, ratePerSecond, program, nodeArguments: [heapArgument], ...machineLimits,
			});
			try {
				await deployment.waitUntilReady();
				await sleep(settleMs);
				await playCrowd(deployment, crowd);
			} finally {
				deployment.stop();
			}
		});
	}
});

/** Opens a crowd, and expects that the first host answers an ordinary request beside it and that all hosts keep to their bounds. */
async function playCrowd({hosts}: WireDeployment, {findPort = ({port}) => port, isElsewhere = false, ...options}: Crowd): Promise<void> {
	const [host, ...others] = hosts;
	if (host === undefined) {
		throw new Error('The deployment has no host');
	}

	await sendStatement({port: host.port, text: `WRITE large ${'x'.repeat(largeBytes)}`});
	const crowds = (isElsewhere ? others : [host]).map(each => openWireCrowd(findPort(each), options));
	try {
		await Promise.race([Promise.all(crowds.map(async ({hasSent}) => hasSent)), sleep(2 * holdMs)]);
		await sleep(holdMs);
		const result = await sendOrdinaryRequest(host);
		const breaches = hosts.flatMap(each => listBreaches(each));
		expect({breaches, result: result.split(' ')[0]}).to.deep.equal({breaches: [], result: 'COMPLETE'});
	} finally {
		for (const crowd of crowds) {
			crowd.close();
		}
	}
}
