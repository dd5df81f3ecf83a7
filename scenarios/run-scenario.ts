import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';
import {ChangeResponseSchema, type ChangeResponse} from '@sapphirefall/wire';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import {applyFault} from './apply-fault.ts';
import {checkAnswer} from './check-answer.ts';
import {checkOutputs} from './check-outputs.ts';
import {checkTally} from './check-tally.ts';
import {createChange} from './create-change.ts';
import {findHost} from './find-host.ts';
import {formatAnswer} from './format-answer.ts';
import {loseAcceptors} from './lose-acceptors.ts';
import {runBurst} from './run-burst.ts';
import {sendCall} from './send-call.ts';
import {sendWrites} from './send-writes.ts';
import {waitFor} from './wait-for.ts';
import type {TimedResponse} from './timed-response.ts';
import type {Scenario} from './scenario.ts';
import type {ScenarioContext} from './scenario-context.ts';
import type {Step} from './step.ts';
import type {Transcript} from './transcript.ts';

type Call = NonNullable<Step['call']>;
type Change = NonNullable<Step['change']>;

/** Longest time until the first `after` writes of a step are done, in milliseconds. */
const firstWritesTimeoutMs = 5000;

/** Delay between two attempts of a step that is retried, in milliseconds. */
const retryDelayMs = 20;

/**
 * Runs a scenario against a cluster of its own.
 *
 * @param scenario Scenario to run.
 * @param transcript Transcript to which the steps and their results are added.
 * @throws {Error} If a step does not meet its expectation; the message contains the step.
 */
export async function runScenario(scenario: Scenario, transcript: Transcript): Promise<void> {
	const cluster = await startCluster(scenario.cluster);
	const context: ScenarioContext = {
		cluster, transcript, scenario, sessions: new Map(), streams: new Map(), calls: new Map(), changes: new Map(), writes: new Map(), bursts: new Map(), keys: new Set(), killedHosts: new Set(),
	};
	try {
		for (const [index, step] of scenario.steps.entries()) {
			await runNamedStep(context, {step, index}); // eslint-disable-line no-await-in-loop -- steps run one after the other
		}
	} finally {
		for (const stream of context.streams.values()) {
			stream.close();
		}

		await cluster.stop();
	}
}

async function runNamedStep(context: ScenarioContext, {step, index}: {readonly step: Step; readonly index: number}): Promise<void> {
	try {
		await runStep(context, step);
	} catch (error) {
		throw new Error(`step ${index + 1} ${JSON.stringify(step)}: ${(error as Error).message}`, {cause: error});
	}
}

async function runStep(context: ScenarioContext, step: Step): Promise<void> {
	await runRequests(context, step);
	await applyFault(context, step);
	if (step.loseAcceptors === true) {
		await loseAcceptors(context);
	}

	await waitFor(context, step);
	await checkOutputs(context, step);
}

async function runRequests(context: ScenarioContext, step: Step): Promise<void> {
	const {
		call, change, join, burst, writes, tally,
	} = step;
	if (burst !== undefined) {
		await runBurst(context, burst);
	}

	if (writes !== undefined) {
		await startWrites(context, writes);
	}

	if (tally !== undefined) {
		await checkTally(context, tally);
	}

	if (call !== undefined) {
		await runCall(context, call);
	}

	if (change !== undefined) {
		await runChange(context, change);
	}

	if (join !== undefined) {
		await runJoin(context, join);
	}
}

/** Starts the writes of a step and waits until `after` of them are done, so that the next step's fault occurs while the rest run. */
async function startWrites(context: ScenarioContext, writes: NonNullable<Step['writes']>): Promise<void> {
	let done = 0;
	const onDone = () => {
		done++;
	};

	const run = async () => ({key: writes.key, writes: await sendWrites(context, {writes, onDone})});
	context.writes.set(writes.name, run());
	context.transcript.add(`start ${writes.count} writes ${writes.name}`);
	const deadline = performance.now() + firstWritesTimeoutMs;
	while (done < writes.after) {
		expect(performance.now(), `only ${done} writes ${writes.name} are done before the time-out`).to.be.below(deadline);
		await sleep(1); // eslint-disable-line no-await-in-loop -- the fault must occur while writes run
	}
}

async function runJoin(context: ScenarioContext, join: NonNullable<Step['join']>): Promise<void> {
	const call = context.calls.get(join.name);
	if (call !== undefined) {
		const answered = await call;
		context.transcript.add(`join ${join.name}: ${formatAnswer(answered.response)}`);
		checkAnswer(answered.response, {expected: join.expect ?? {}, elapsedMs: answered.elapsedMs});
	}

	const changed = context.changes.get(join.name);
	if (changed !== undefined) {
		const {code} = await changed;
		context.transcript.add(`join ${join.name}: code ${code}`);
		expect(code).to.equal(join.code ?? 0);
	}

	expect(call ?? changed, `no call or change named ${join.name} was started`).to.not.equal(undefined);
}

async function runCall(context: ScenarioContext, call: Call): Promise<void> {
	if (call.background !== undefined) {
		context.calls.set(call.background, sendCall(context, call));
		context.transcript.add(`start ${call.background}: ${describeCall(call)}`);
		return;
	}

	const deadline = performance.now() + (call.until ?? 0);
	for (let count = 0; count < call.times; count++) {
		const answered = await sendUntil(context, {call, deadline}); // eslint-disable-line no-await-in-loop
		if (count === 0) {
			context.transcript.add(`${describeCall(call)}: ${formatAnswer(answered.response)}`);
		}
	}
}

/** Sends a call until its answer meets the expectation. Throws the assertion error of the last attempt once the deadline has passed. */
async function sendUntil(context: ScenarioContext, {call, deadline}: {readonly call: Call; readonly deadline: number}): Promise<TimedResponse> {
	for (;;) {
		const answered = await sendCall(context, call); // eslint-disable-line no-await-in-loop
		try {
			checkAnswer(answered.response, {expected: call.expect ?? {}, elapsedMs: answered.elapsedMs});
			return answered;
		} catch (error) {
			if (performance.now() >= deadline) {
				throw error;
			}
		}

		await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
	}
}

function describeCall(call: Call): string {
	const kind = call.write === true ? 'write' : `read ${call.read ?? call.readKind ?? call.route ?? ''}`;
	const statements = call.statements.map(statement => typeof statement === 'string' ? statement : statement.sql);
	return `${call.host} ${kind} [${statements.join('; ')}]`;
}

async function runChange(context: ScenarioContext, change: Change): Promise<void> {
	const sending = sendChange(context, change);
	if (change.background !== undefined) {
		context.changes.set(change.background, sending);
		return;
	}

	const response = await repeatChange(context, {change, first: await sending});
	context.transcript.add(`change: code ${response.code}, version ${response.version}`);
	expect(response.code, response.reason).to.equal(change.code);
	if (change.reason !== undefined) {
		expect(response.reason).to.include(change.reason);
	}
}

/** Retries a change until it gets the expected code or `until` milliseconds have passed. */
async function repeatChange(
	context: ScenarioContext,
	{change, first}: {readonly change: Change; readonly first: ChangeResponse},
): Promise<ChangeResponse> {
	const deadline = performance.now() + change.until;
	let response = first;
	while (response.code !== change.code && performance.now() < deadline) {
		await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop -- attempts run one after the other
		response = await sendChange(context, change); // eslint-disable-line no-await-in-loop
	}

	return response;
}

async function sendChange(context: ScenarioContext, change: Change): Promise<ChangeResponse> {
	if (change.key !== undefined) {
		context.keys.add(change.key.name);
	}

	const host = findHost(context, change.host ?? context.cluster.hosts[0] ?? '');
	const response = await context.cluster.operator(host).change({
		changeId: randomUUID(), basedOn: change.basedOn ?? 0, change: createChange(change),
	});
	return create(ChangeResponseSchema, response);
}

