import {applyObservation} from './apply-observation.ts';
import {createLocalRunner} from './create-local-runner.ts';
import {createRoutedRunner} from './create-routed-runner.ts';
import type {Gateways} from './gateways.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
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
	/** Maximum number of this host's connections to the instance. */
	readonly limit: number;
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
	openConnection, gateways, limit, onPaceChanged = () => undefined, now, onWaitEnded,
}: Options): InstanceRuntime {
	let listed = first;
	let health: InstanceHealth = {
		latency: initialLatencyMs, hasAnswered: false, lastAnswerAt: now(), unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
	};

	const recordObservation = (observation: Parameters<typeof applyObservation>[1]['observation']) => {
		health = applyObservation(health, {observation, now: now()});
	};

	const pool = createInstancePool({
		limit,
		now,
		onWaitEnded,
		async open(workspace) {
			recordObservation({kind: 'sent'});
			const outcome = await openConnection(listed, {workspace, timeout: connectTimeoutMs});
			recordObservation(isFromInstance(outcome) ? {kind: 'answered', latency: undefined, position: undefined} : {kind: 'failed'});

			return outcome;
		},
	});

	const send = async (pooled: PooledConnection, request: InstanceRequest, timeout: number): Promise<InstanceAnswer> => {
		const sentAt = now();
		recordObservation({kind: 'sent'});
		const answer = await waitForAnswer(pooled, request, timeout);
		if (answer.kind === 'lost') {
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

	const runLocally = createLocalRunner({
		pool, gate, send, latency: () => health.latency, now,
	});

	return {
		listed: () => listed,
		run: createRoutedRunner({
			listed: () => listed, local: runLocally, gateways, recordObservation, now,
		}),
		runLocally,
		checkGateway(workspace) {
			const [gateway = gateways.self] = gateways.list(listed, workspace);
			if (gateway !== gateways.self && !gateways.isAvoided(gateway, listed)) {
				void gateways.isAnswering(gateway, {isRetryable: false});
			}
		},
		update(newer) {
			const hasMoved = newer.host !== listed.host || newer.port !== listed.port;
			listed = newer;
			if (hasMoved) {
				gate.restart();
			}
		},
		health: () => health,
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
