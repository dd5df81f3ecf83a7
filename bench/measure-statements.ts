import {
	mkdtempSync, readdirSync, readFileSync, rmSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {openWireClient} from '../stand-ins/wire/open-wire-client.ts';
import {startWireDeployment} from '../stand-ins/wire/start-wire-deployment.ts';
import type {WireDeployment} from '../stand-ins/wire/wire-deployment.ts';
import {readProcessorTime} from './read-processor-time.ts';
import {summarizeProfile} from './summarize-profile.ts';

type Options = {
	readonly hostCount: number;
	/** Directory of the checkout from which the hosts are started. */
	readonly checkout: string;
	/** Whether hosts write CPU profiles, which shows the time by component but costs processor time itself. */
	readonly isProfiled: boolean;
};

/** Cost of statements and of idle hosts. */
type Cost = {
	/** Share of a core that an idle host uses. */
	readonly idleCoreShare: number;
	/** Processor time of all hosts per statement, in milliseconds, above their use when idle. */
	readonly statementMs: number;
	/** Median time from a statement to its answer, in milliseconds. */
	readonly medianMs: number;
	/** Profiled time by component, in milliseconds, summed over all hosts, from the first statement until all hosts have stopped. */
	readonly msByComponent: ReadonlyMap<string, number>;
};

/** Milliseconds for which hosts settle, are idle and are under load. */
const periodsMs = {settling: 4000, idle: 5000, load: 10_000};

/** Statements per second over all hosts, and the number of sessions that send them in turn. */
const statementRate = 60;
const sessionCount = 12;

/** Longest wait for a stopped host to write its profile and exit, in milliseconds. */
const stopTimeoutMs = 8000;

/** Replication lag, in milliseconds. */
const lagMs = 20;

const readUsedMs = ({hosts}: WireDeployment) => hosts.reduce((sum, host) => sum + readProcessorTime(host.process.pid ?? 0), 0);

/** Measures the cost of statements and of idle hosts, with hosts as processes that use simulated instances and a simulated platform. */
export async function measureStatements({hostCount, checkout, isProfiled}: Options): Promise<Cost> {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'sapphirefall-profile-'));
	const deployment = await startWireDeployment({
		hostCount, lag: lagMs, checkout, nodeArguments: isProfiled ? ['--cpu-prof', `--cpu-prof-dir=${folder}`] : [],
	});
	try {
		await deployment.waitUntilReady();
		await sleep(periodsMs.settling);
		const atStart = readUsedMs(deployment);
		await sleep(periodsMs.idle);
		const afterIdle = readUsedMs(deployment);
		const elapsed = await runLoad(deployment);
		const used = readUsedMs(deployment) - afterIdle;
		const idle = (afterIdle - atStart) / periodsMs.idle;
		const loadedAt = performance.now();
		await stopHosts(deployment);
		const stopped = performance.now() - loadedAt;
		return {
			idleCoreShare: idle / hostCount,
			statementMs: (used - (idle * periodsMs.load)) / elapsed.length,
			medianMs: elapsed.toSorted((a, b) => a - b)[Math.floor(elapsed.length / 2)] ?? 0,
			msByComponent: mergeComponents(readdirSync(folder).map(file => summarizeProfile(readFileSync(path.join(folder, file), 'utf8'), periodsMs.load + stopped))),
		};
	} finally {
		deployment.stop();
		rmSync(folder, {recursive: true, force: true});
	}
}

/** Sends statements at a steady rate and returns the time that each took, in milliseconds. */
async function runLoad({hosts}: WireDeployment): Promise<readonly number[]> {
	const sessions = Array.from({length: sessionCount}, (_, index) => openWireClient(hosts[index % hosts.length]?.port ?? 0, {
		database: ['latest', 'old', 'own'][index % 3] ?? '', key: index % 2 === 0 ? 'good' : 'other',
	}));
	const elapsed: number[] = [];
	const pause = 1000 * sessionCount / statementRate;
	const until = performance.now() + periodsMs.load;
	await Promise.all(sessions.map(async (session, index) => {
		await sleep(index * pause / sessionCount);
		for (let number = 0; performance.now() < until; number++) {
			const sentAt = performance.now();
			await session.query(number % 10 === 0 && index % 3 !== 1 ? `WRITE item${index} v${number}` : `READ item${index}`); // eslint-disable-line no-await-in-loop -- a session runs one statement at a time
			elapsed.push(performance.now() - sentAt);
			await sleep(Math.max(0, sentAt + pause - performance.now())); // eslint-disable-line no-await-in-loop
		}

		session.close();
	}));
	return elapsed;
}

/** Stops hosts with SIGTERM, so that they write their profiles. */
async function stopHosts({hosts}: WireDeployment): Promise<void> {
	await Promise.all(hosts.map(async host => {
		const exited = new Promise(resolve => {
			host.process.once('exit', resolve);
		});
		host.process.kill('SIGTERM');
		await Promise.race([exited, sleep(stopTimeoutMs)]);
	}));
}

function mergeComponents(all: ReadonlyArray<ReadonlyMap<string, number>>): ReadonlyMap<string, number> {
	const merged = new Map<string, number>();
	for (const [component, elapsedMs] of all.flatMap(ofHost => [...ofHost])) {
		merged.set(component, (merged.get(component) ?? 0) + elapsedMs);
	}

	return merged;
}
