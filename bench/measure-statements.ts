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
	/** Checkout whose hosts run. */
	readonly checkout: string;
	/** Whether the parts of the program are told apart, which costs processor time itself. */
	readonly isProfiled: boolean;
};

/** What statements and idle hosts cost. */
type Cost = {
	/** Share of a core that an idle host uses. */
	readonly idleCoreShare: number;
	/** Milliseconds of processor time of all hosts a statement, above idle. */
	readonly statementMs: number;
	/** Milliseconds from a statement to its answer, the median. */
	readonly medianMs: number;
	/** Milliseconds of profiled time by part of the program, over all hosts, from the first statement to the end of all. */
	readonly msByComponent: ReadonlyMap<string, number>;
};

/** Milliseconds for which hosts settle, stand idle and are under load. */
const spans = {settling: 4000, idle: 5000, load: 10_000};

/** Statements a second over all hosts, and sessions that send them in turn. */
const statementRate = 60;
const sessionCount = 12;

/** Milliseconds within which a stopped host has written its profile. */
const stopSpan = 8000;

/** Milliseconds that replicas are behind. */
const lag = 20;

const countUsed = ({hosts}: WireDeployment) => hosts.reduce((sum, host) => sum + readProcessorTime(host.process.pid ?? 0), 0);

/** Measures what statements and idle hosts cost, with hosts as processes over stand-ins. */
export async function measureStatements({hostCount, checkout, isProfiled}: Options): Promise<Cost> {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'sapphirefall-profile-'));
	const deployment = await startWireDeployment({
		hostCount, lag, checkout, nodeArguments: isProfiled ? ['--cpu-prof', `--cpu-prof-dir=${folder}`] : [],
	});
	try {
		await deployment.waitUntilReady();
		await sleep(spans.settling);
		const atStart = countUsed(deployment);
		await sleep(spans.idle);
		const afterIdle = countUsed(deployment);
		const elapsed = await runLoad(deployment);
		const used = countUsed(deployment) - afterIdle;
		const idle = (afterIdle - atStart) / spans.idle;
		const loadedAt = performance.now();
		await stopHosts(deployment);
		const stopped = performance.now() - loadedAt;
		return {
			idleCoreShare: idle / hostCount,
			statementMs: (used - (idle * spans.load)) / elapsed.length,
			medianMs: elapsed.toSorted((a, b) => a - b)[Math.floor(elapsed.length / 2)] ?? 0,
			msByComponent: mergeParts(readdirSync(folder).map(file => summarizeProfile(readFileSync(path.join(folder, file), 'utf8'), spans.load + stopped))),
		};
	} finally {
		deployment.stop();
		rmSync(folder, {recursive: true, force: true});
	}
}

/** Sends statements at a steady rate; returns the milliseconds that each took. */
async function runLoad({hosts}: WireDeployment): Promise<readonly number[]> {
	const sessions = Array.from({length: sessionCount}, (_, index) => openWireClient(hosts[index % hosts.length]?.port ?? 0, {
		database: ['latest', 'old', 'own'][index % 3] ?? '', key: index % 2 === 0 ? 'good' : 'other',
	}));
	const elapsed: number[] = [];
	const pause = 1000 * sessionCount / statementRate;
	const until = performance.now() + spans.load;
	await Promise.all(sessions.map(async (session, index) => {
		await sleep(index * pause / sessionCount);
		for (let number = 0; performance.now() < until; number++) {
			const sentAt = performance.now();
			await session.query(number % 10 === 0 && index % 3 !== 1 ? `WRITE item${index} v${number}` : `READ item${index}`); // eslint-disable-line no-await-in-loop -- a session sends one statement after the other
			elapsed.push(performance.now() - sentAt);
			await sleep(Math.max(0, sentAt + pause - performance.now())); // eslint-disable-line no-await-in-loop
		}

		session.close();
	}));
	return elapsed;
}

/** Stops hosts in an orderly way, so that they write their profiles. */
async function stopHosts({hosts}: WireDeployment): Promise<void> {
	await Promise.all(hosts.map(async host => {
		const isOver = new Promise(resolve => {
			host.process.once('exit', resolve);
		});
		host.process.kill('SIGTERM');
		await Promise.race([isOver, sleep(stopSpan)]);
	}));
}

function mergeParts(all: ReadonlyArray<ReadonlyMap<string, number>>): ReadonlyMap<string, number> {
	const merged = new Map<string, number>();
	for (const [part, span] of all.flatMap(spansOfHost => [...spansOfHost])) {
		merged.set(part, (merged.get(part) ?? 0) + span);
	}

	return merged;
}
