import {applyObservation} from './apply-observation.ts';
import {createInstancePool} from './create-instance-pool.ts';
import {createLocalRunner} from './create-local-runner.ts';
import {createRoutedRunner} from './create-routed-runner.ts';
import type {Gateways} from './gateways.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenLink} from './open-link.ts';
import type {PooledLink} from './pooled-link.ts';

type Options = {
	readonly openLink: OpenLink;
	readonly gateways: Gateways;
	/** Connections at most. */
	readonly limit: number;
	/** Present steady milliseconds. */
	readonly now: () => number;
};

/** Milliseconds within which an instance must take a connection. */
const connectTimeout = 700;

/** Milliseconds that a statement is taken to need before any was seen. */
const presumedLatency = 30;

/** Creates what a host keeps of an instance: its connections and what was seen of it. */
export function createInstanceRuntime(first: ListedInstance, {
	openLink, gateways, limit, now,
}: Options): InstanceRuntime {
	let listed = first;
	let health: InstanceHealth = {
		latency: presumedLatency, lastAnswerAt: now(), unansweredSince: undefined, avoidedUntil: 0, failures: 0, position: undefined, lastLag: undefined,
	};

	const note = (seen: Parameters<typeof applyObservation>[1]['seen']) => {
		health = applyObservation(health, {seen, now: now()});
	};

	const pool = createInstancePool({
		limit,
		now,
		async open(workspace) {
			note({kind: 'sent'});
			const outcome = await openLink(listed, {workspace, timeout: connectTimeout});
			if (outcome.kind === 'absent' || outcome.kind === 'silent') {
				note({kind: 'failed'});
			} else {
				note({kind: 'answered', latency: undefined, position: undefined});
			}

			return outcome;
		},
	});

	const send = async (link: PooledLink, request: InstanceRequest, timeout: number): Promise<InstanceAnswer> => {
		const sentAt = now();
		note({kind: 'sent'});
		const answer = await waitForAnswer(link, request, timeout);
		if (answer.kind === 'lost') {
			note({kind: 'failed'});
		} else {
			const takesSlot = request.kind === 'forward' || request.kind === 'execute';
			note({kind: 'answered', latency: takesSlot ? now() - sentAt : undefined, position: answer.position});
		}

		return answer;
	};

	const runLocally = createLocalRunner({
		pool, send, latency: () => health.latency, now,
	});

	return {
		listed: () => listed,
		run: createRoutedRunner({
			listed: () => listed, local: runLocally, gateways, note, now,
		}),
		runLocally,
		reach(workspace) {
			const [gateway = gateways.self] = gateways.list(listed, workspace);
			if (gateway !== gateways.self && !gateways.isAvoided(gateway, listed)) {
				void gateways.isAnswering(gateway, {isRepeatable: false});
			}
		},
		update(newer) {
			listed = newer;
		},
		health: () => health,
		pool,
		send,
		noteLag(lacks) {
			note({kind: 'lagging', missingPosition: lacks});
		},
	};
}

/** Waits for the answer to a request; a connection that gives none in time is closed. */
async function waitForAnswer({link}: PooledLink, request: InstanceRequest, timeout: number): Promise<InstanceAnswer> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			link.close();
			resolve({kind: 'lost', reason: `No answer came within ${Math.round(timeout)} ms.`});
		}, timeout);
		const receive = async () => {
			const answer = await link.send(request);
			clearTimeout(timer);
			resolve(answer);
		};

		void receive();
	});
}
