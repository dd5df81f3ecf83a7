import {applyObservation} from './apply-observation.ts';
import type {ColdInstances} from './cold-instances/cold-instances.ts';
import {createConnectionWatch} from './cold-instances/create-connection-watch.ts';
import {createInstanceAdmission} from './cold-instances/create-instance-admission.ts';
import {createGuardedDispatch} from './evacuation/create-guarded-dispatch.ts';
import {createGuardedPool} from './evacuation/create-guarded-pool.ts';
import {createGuardedRunner} from './evacuation/create-guarded-runner.ts';
import {createGuardedSend} from './evacuation/create-guarded-send.ts';
import {createLocalRunner} from './create-local-runner.ts';
import {createRoutedRunner} from './create-routed-runner.ts';
import type {Gateways} from './gateways.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {Job} from './job.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenConnectionOutcome} from './open-connection-outcome.ts';
import type {OpenConnection} from './open-connection.ts';
import {createStatementGate} from './pace/create-statement-gate.ts';
import {findPaceBounds} from './pace/find-pace-bounds.ts';
import {createInstancePool} from './pools/create-instance-pool.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import type {EndedWait} from './waiting/ended-wait.ts';

type Options = {
	readonly openConnection: OpenConnection;
	readonly gateways: Gateways;
	/** How cold instances are spared; undefined if they are not. */
	readonly coldInstances?: ColdInstances | undefined;
	/** Maximum number of this host's connections to the instance. */
	readonly limit: number;
	/** Whether a job may be sent to the instance now, by the evacuation of its zone. Defaults to always. */
	readonly mayRun?: (kind: Job['kind']) => boolean;
	/** Called when the pace of the instance has changed. */
	readonly onPaceChanged?: Parameters<typeof createStatementGate>[0]['onChanged'];
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	/** Called when a request no longer waits for a place or a connection of this host. */
	readonly onWaitEnded?: ((wait: EndedWait) => void) | undefined;
};

/** Time within which an instance must accept a connection. */
const connectTimeoutMs = 700;

/** Statement latency that is assumed before any was measured. */
const initialLatencyMs = 30;

/** Creates the runtime of an instance: its connection pool, its observed health and the means to run jobs on it. */
export function createInstanceRuntime(first: ListedInstance, {
	openConnection, gateways, coldInstances, limit, mayRun = () => true, onPaceChanged = () => undefined, now, onWaitEnded,
}: Options): InstanceRuntime {
	let listed = first;
	let health: InstanceHealth = {
		latency: initialLatencyMs, hasAnswered: false, lastAnswerAt: now(), unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
	};

	const recordObservation = (observation: Parameters<typeof applyObservation>[1]['observation']) => {
		health = applyObservation(health, {observation, now: now()});
	};

	const admission = createInstanceAdmission(first, {coldInstances, now});
	const watch = createConnectionWatch();

	/** Adds an opened connection to those that are watched; an instance that was lost before may have started again. */
	const watchConnection: typeof watch.add = connection => {
		if (watch.takeLoss()) {
			admission.recordReconnection();
		}

		return watch.add(connection);
	};

	const pool = createInstancePool({
		limit,
		now,
		onWaitEnded,
		async open(workspace) {
			recordObservation({kind: 'sent'});
			const outcome = await openConnection(listed, {workspace, timeout: connectTimeoutMs});
			recordObservation(isFromInstance(outcome) ? {kind: 'answered', latency: undefined, position: undefined} : {kind: 'failed'});

			if (outcome.kind === 'opened') {
				return {...outcome, connection: watchConnection(outcome.connection)};
			}

			if (!isFromInstance(outcome)) {
				watch.recordFailedOpen();
			}

			return outcome;
		},
	});

	const send = async (pooled: PooledConnection, request: InstanceRequest, timeout: number): Promise<InstanceAnswer> => {
		const sentAt = now();
		recordObservation({kind: 'sent'});
		const answer = await waitForAnswer(pooled, request, timeout);
		if (answer.kind === 'lost') {
			watch.recordLostAnswer();
			recordObservation({kind: 'failed'});
		} else {
			// Only requests that use an execution slot say how fast the instance runs statements.
			const takesSlot = request.kind === 'forward' || request.kind === 'execute';
			recordObservation({kind: 'answered', latency: takesSlot ? now() - sentAt : undefined, position: answer.position});
		}

		return answer;
	};

	const gate = createStatementGate({
		findBounds: () => findPaceBounds({slots: listed.slots, gatewayCount: gateways.count()}),
		findConnectionLimit: pool.findLimit,
		listIdleWorkspaces: pool.listIdleWorkspaces,
		onChanged: onPaceChanged,
		onWaitEnded,
		now,
	});

	const local = createLocalRunner({
		pool: createGuardedPool(pool, () => mayRun('begin')),
		gate,
		send: createGuardedSend(send, () => mayRun('within')),
		admission,
		latency: () => health.latency,
		now,
	});
	const runLocally = createGuardedRunner(local.run, mayRun);

	return {
		listed: () => listed,
		run: createGuardedDispatch(createRoutedRunner({
			listed: () => listed, local: runLocally, gateways, recordObservation, now,
		}), mayRun),
		runLocally,
		endIdleTransactions: local.endIdleTransactions,
		checkGateway(workspace) {
			const [gateway = gateways.self] = gateways.list(listed, workspace);
			if (gateway !== gateways.self && !gateways.isAvoided(gateway, listed)) {
				void gateways.isAnswering(gateway, {isRetryable: false});
			}
		},
		update(newer) {
			const hasMoved = newer.host !== listed.host || newer.port !== listed.port;
			listed = newer;
			admission.update(newer);
			if (hasMoved) {
				gate.restart();
			}
		},
		health: () => health,
		isCold: admission.isCold,
		pool,
		pace: gate,
		send,
		recordLag(missingPosition) {
			recordObservation({kind: 'lagging', missingPosition});
		},
	};
}

/** Whether the instance itself answered; `moved` comes from another one that has its address now. */
function isFromInstance(outcome: OpenConnectionOutcome): boolean {
	return outcome.kind === 'opened' || (outcome.kind === 'refused' && outcome.code !== 'moved');
}

/**
 * Sends a request and waits for the answer; closes the connection when none comes within `timeout` milliseconds, or when
 * the request cannot be sent.
 */
async function waitForAnswer({connection}: PooledConnection, request: InstanceRequest, timeout: number): Promise<InstanceAnswer> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			connection.close();
			resolve({kind: 'lost', reason: `No answer came within ${Math.round(timeout)} ms.`});
		}, timeout);
		const receive = async () => {
			try {
				resolve(await connection.send(request));
			} catch (error) {
				connection.close();
				resolve({kind: 'lost', reason: `The request failed: ${(error as Error).message}`});
			} finally {
				clearTimeout(timer);
			}
		};

		void receive();
	});
}
