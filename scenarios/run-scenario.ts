import {createHash, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';
import {parseEvent} from '@sapphirefall/events';
import {
	AddKeySchema, ChangeResponseSchema, SetExceptionSchema, SetFreshnessSchema, SetRouteSchema, SetWorkspaceSchema,
	WithdrawKeySchema, type ChangeRequest, type ChangeResponse, type ExecuteResponse,
} from '@sapphirefall/wire';
import {createStatement} from '../stand-ins/cluster/create-statement.ts';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {checkAnswer} from './check-answer.ts';
import {formatAnswer} from './format-answer.ts';
import type {Scenario} from './scenario.ts';
import type {Transcript} from './transcript.ts';

type Step = Scenario['steps'][number];
type Call = NonNullable<Step['call']>;
type Change = NonNullable<Step['change']>;
type Answered = {readonly response: ExecuteResponse; readonly elapsed: number};

/** What the steps of a scenario share. */
type Stage = {
	readonly cluster: Cluster;
	readonly transcript: Transcript;
	readonly sessions: Map<string, string>;
	readonly calls: Map<string, Promise<Answered>>;
	readonly changes: Map<string, Promise<ChangeResponse>>;
	readonly keys: Set<string>;
	readonly scenario: Scenario;
};

/** Milliseconds between two attempts of a step that repeats. */
const repeatDelay = 20;

/**
 * Runs a scenario against a cluster of its own.
 *
 * @param scenario The scenario.
 * @param transcript Takes the record of the session.
 * @throws {Error} When a step does not give what is expected; the message names the step.
 */
export async function runScenario(scenario: Scenario, transcript: Transcript): Promise<void> {
	const cluster = await startCluster(scenario.cluster);
	const stage: Stage = {
		cluster, transcript, scenario, sessions: new Map(), calls: new Map(), changes: new Map(), keys: new Set(),
	};
	try {
		for (const [index, step] of scenario.steps.entries()) {
			await runNamedStep(stage, {step, index}); // eslint-disable-line no-await-in-loop -- steps follow each other
		}
	} finally {
		await cluster.stop();
	}
}

async function runNamedStep(stage: Stage, {step, index}: {readonly step: Step; readonly index: number}): Promise<void> {
	try {
		await runStep(stage, step);
	} catch (error) {
		throw new Error(`step ${index + 1} ${JSON.stringify(step)}: ${(error as Error).message}`, {cause: error});
	}
}

async function runStep(stage: Stage, step: Step): Promise<void> {
	await runCallStep(stage, step);
	runFaultStep(stage, step);
	await runRemoteFaultStep(stage, step);
	await runWaitStep(stage, step);
	if (step.noKeyShown === true) {
		checkOutputs(stage);
	}

	if (step.events !== undefined) {
		checkEvents(stage, step.events);
	}
}

async function runBurst(stage: Stage, burst: NonNullable<Step['burst']>): Promise<void> {
	const {hosts} = stage.cluster;
	const sending = Array.from({length: burst.count}, async (_, index) => sendCall(stage, {
		host: hosts[index % hosts.length] ?? '', key: burst.key, read: burst.read, statements: burst.statements, times: 1,
	}));
	const answered = await Promise.all(sending);
	const done = answered.filter(({response}) => response.answer.case === 'done').length;
	expect(done).to.be.within(burst.done.least, burst.done.most);
}

async function runCallStep(stage: Stage, {call, change, join, burst}: Step): Promise<void> {
	if (burst !== undefined) {
		await runBurst(stage, burst);
	}

	if (call !== undefined) {
		await runCall(stage, call);
	}

	if (change !== undefined) {
		await runChange(stage, change);
	}

	if (join !== undefined) {
		const call = stage.calls.get(join.name);
		if (call !== undefined) {
			const answered = await call;
			stage.transcript.add(`join ${join.name}: ${formatAnswer(answered.response)}`);
			checkAnswer(answered.response, {expected: join.expect ?? {}, elapsed: answered.elapsed});
		}

		const changed = stage.changes.get(join.name);
		if (changed !== undefined) {
			const {code} = await changed;
			stage.transcript.add(`join ${join.name}: code ${code}`);
			expect(code).to.equal(join.code ?? 0);
		}

		expect(call ?? changed, `nothing named ${join.name} runs`).to.not.equal(undefined);
	}
}

async function runCall(stage: Stage, call: Call): Promise<void> {
	if (call.background !== undefined) {
		stage.calls.set(call.background, sendCall(stage, call));
		stage.transcript.add(`start ${call.background}: ${describeCall(call)}`);
		return;
	}

	const deadline = performance.now() + (call.until ?? 0);
	for (let count = 0; count < call.times; count++) {
		const answered = await sendUntil(stage, {call, deadline}); // eslint-disable-line no-await-in-loop
		if (count === 0) {
			stage.transcript.add(`${describeCall(call)}: ${formatAnswer(answered.response)}`);
		}
	}
}

/** Sends a call until its answer is as expected or the time is over; then the difference is thrown. */
async function sendUntil(stage: Stage, {call, deadline}: {readonly call: Call; readonly deadline: number}): Promise<Answered> {
	for (;;) {
		const answered = await sendCall(stage, call); // eslint-disable-line no-await-in-loop
		try {
			checkAnswer(answered.response, {expected: call.expect ?? {}, elapsed: answered.elapsed});
			return answered;
		} catch (error) {
			if (performance.now() >= deadline) {
				throw error;
			}
		}

		await sleep(repeatDelay); // eslint-disable-line no-await-in-loop
	}
}

async function sendCall(stage: Stage, call: Call): Promise<Answered> {
	const sentAt = performance.now();
	const response = await stage.cluster.caller(call.host, call.key ?? '').execute({
		requestId: call.background ?? '',
		database: call.route === undefined ? call.database ?? stage.scenario.cluster.databases[0] ?? '' : '',
		route: call.route ?? '',
		statements: call.statements.map(statement => typeof statement === 'string'
			? createStatement(statement)
			: createStatement(statement.sql, statement.parameters)),
		kind: createKind(call),
		session: call.token ?? stage.sessions.get(call.session ?? '') ?? '',
		deadlineMs: call.deadline ?? 0,
	});
	if (call.session !== undefined && response.answer.case === 'done' && response.answer.value.session !== '') {
		stage.sessions.set(call.session, response.answer.value.session);
	}

	return {response, elapsed: performance.now() - sentAt};
}

function createKind(call: Call) {
	return call.write === true
		? {case: 'write' as const, value: {idempotencyKey: call.idempotencyKey ?? '', repeatable: call.repeatable ?? false}}
		: {case: 'read' as const, value: {freshness: call.read ?? '', kind: call.readKind ?? ''}};
}

function describeCall(call: Call): string {
	const kind = call.write === true ? 'write' : `read ${call.read ?? call.readKind ?? call.route ?? ''}`;
	const statements = call.statements.map(statement => typeof statement === 'string' ? statement : statement.sql);
	return `${call.host} ${kind} [${statements.join('; ')}]`;
}

async function runChange(stage: Stage, change: Change): Promise<void> {
	const sending = sendChange(stage, change);
	if (change.background !== undefined) {
		stage.changes.set(change.background, sending);
		return;
	}

	const response = await sending;
	stage.transcript.add(`change: code ${response.code}, version ${response.version}`);
	expect(response.code, response.reason).to.equal(change.code);
	if (change.reason !== undefined) {
		expect(response.reason).to.include(change.reason);
	}
}

async function sendChange(stage: Stage, change: Change): Promise<ChangeResponse> {
	if (change.key !== undefined) {
		stage.keys.add(change.key.name);
	}

	const host = change.host ?? stage.cluster.hosts[0] ?? '';
	const response = await stage.cluster.operator(host).change({
		changeId: randomUUID(), basedOn: change.basedOn ?? 0, change: createChange(change),
	});
	return create(ChangeResponseSchema, response);
}

function createChange(change: Change): ChangeRequest['change'] {
	if (change.workspace !== undefined) {
		const {name: workspace, rate, burst, databases} = change.workspace;
		return {
			case: 'setWorkspace', value: create(SetWorkspaceSchema, {
				workspace, rate, burst, databases,
			}),
		};
	}

	if (change.key !== undefined) {
		const {name, workspace} = change.key;
		const digest = createHash('sha256').update(name).digest('hex');
		return {case: 'addKey', value: create(AddKeySchema, {workspace, keyId: name.toLowerCase(), digest})};
	}

	if (change.withdraw !== undefined) {
		return {case: 'withdrawKey', value: create(WithdrawKeySchema, {keyId: change.withdraw.toLowerCase()})};
	}

	if (change.freshness !== undefined) {
		return {case: 'setFreshness', value: create(SetFreshnessSchema, change.freshness)};
	}

	if (change.exception !== undefined) {
		return {case: 'setException', value: create(SetExceptionSchema, change.exception)};
	}

	return {case: 'setRoute', value: create(SetRouteSchema, change.route ?? {})};
}

function runFaultStep(stage: Stage, step: Step): void {
	const {cluster} = stage;
	const signals = {
		kill: 'SIGKILL', freeze: 'SIGSTOP', thaw: 'SIGCONT', terminate: 'SIGTERM',
	} as const;
	for (const name of ['kill', 'freeze', 'thaw', 'terminate'] as const) {
		const process = step[name];
		if (process !== undefined) {
			stage.transcript.add(`${name} ${process}`);
			cluster.child(process).signal(signals[name]);
		}
	}

	if (step.cut !== undefined) {
		for (const from of step.cut.from) {
			for (const to of step.cut.to) {
				cluster.setFault(from, to, {isCut: true});
			}
		}
	}

	if (step.partition !== undefined) {
		partition(stage, step.partition);
	}

	if (step.heal === true) {
		for (const from of stage.scenario.cluster.zones) {
			for (const process of [...cluster.hosts, ...cluster.instances, 'platform']) {
				cluster.setFault(from, process, {isCut: false});
			}
		}
	}

	if (step.mute !== undefined) {
		cluster.muteLink(step.mute.from, step.mute.to);
	}

	if (step.reset !== undefined) {
		cluster.resetLink(step.reset.from, step.reset.to);
	}
}

function partition({cluster, scenario}: Stage, {zone, platform}: {readonly zone: string; readonly platform: boolean}): void {
	for (const process of [...cluster.hosts, ...cluster.instances]) {
		const isInside = cluster.zoneOf(process) === zone;
		for (const from of scenario.cluster.zones) {
			if ((from === zone) !== isInside) {
				cluster.setFault(from, process, {isCut: true});
			}
		}
	}

	if (platform) {
		cluster.setFault(zone, 'platform', {isCut: true});
	}
}

async function runRemoteFaultStep({cluster, transcript}: Stage, {platform, answers, restart}: Step): Promise<void> {
	if (restart !== undefined) {
		transcript.add(`restart ${restart}`);
		await cluster.child(restart).ended;
		cluster.restart(restart);
	}

	if (platform !== undefined) {
		const {down, delay, lostAnswers, departing} = platform;
		await cluster.platform.setFault({
			down, delayMs: delay, lostAnswers, departing,
		});
	}

	if (answers !== undefined) {
		const {instance, delay, ...others} = answers;
		await cluster.endpoint(instance).setFault({delayMs: delay, ...others});
	}
}

async function runWaitStep(stage: Stage, {wait, waitFor, exit}: Step): Promise<void> {
	if (wait !== undefined) {
		await sleep(wait);
	}

	if (waitFor !== undefined) {
		await waitForStatus(stage, waitFor);
	}

	if (exit !== undefined) {
		const {cluster} = stage;
		const code = await Promise.race([cluster.child(exit.process).ended, sleep(exit.within, 'late')]);
		expect(code).to.equal(exit.code);
	}
}

async function waitForStatus({cluster, scenario}: Stage, wanted: NonNullable<Step['waitFor']>): Promise<void> {
	const deadline = performance.now() + wanted.within;
	const database = wanted.database ?? scenario.cluster.databases[0];
	for (const host of wanted.hosts ?? cluster.hosts) {
		for (;;) {
			const known = await readKnown(cluster, {host, database: database ?? ''}); // eslint-disable-line no-await-in-loop
			const isKnown = (wanted.primary === undefined || known.primary === wanted.primary)
				&& (wanted.notPrimary === undefined || known.primary !== wanted.notPrimary)
				&& (wanted.version === undefined || known.version >= wanted.version);
			if (isKnown) {
				break;
			}

			expect(performance.now(), `${host} knows primary ${known.primary} and version ${known.version}`).to.be.below(deadline);
			await sleep(repeatDelay); // eslint-disable-line no-await-in-loop
		}
	}
}

/** Reads what a host knows; a host that does not answer yet knows nothing. */
async function readKnown(
	cluster: Cluster,
	{host, database}: {readonly host: string; readonly database: string},
): Promise<{readonly primary: string; readonly version: number}> {
	try {
		const status = await cluster.operator(host).status({});
		const primary = status.groups.find(group => group.database === database)?.primary ?? '';
		return {primary, version: status.configVersion};
	} catch {
		return {primary: '', version: -1};
	}
}

function checkOutputs({cluster, keys}: Stage): void {
	for (const process of ['platform', ...cluster.hosts, ...cluster.instances]) {
		const child = cluster.child(process);
		for (const key of keys) {
			expect(child.readOutput() + child.readErrors(), `${process} shows a key`).to.not.include(key);
		}
	}
}

function checkEvents({cluster}: Stage, wanted: NonNullable<Step['events']>): void {
	const found = cluster.hosts
		.flatMap(host => cluster.child(host).readOutput().split('\n'))
		.map(line => parseEvent(line))
		.filter(event => event?.kind === wanted.kind && (wanted.detail === undefined || event.detail === wanted.detail));
	expect(found.length).to.be.at.least(wanted.least ?? 0);
	expect(found.length).to.be.at.most(wanted.most ?? Infinity);
}
