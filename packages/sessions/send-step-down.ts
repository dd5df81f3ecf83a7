/* eslint-disable no-await-in-loop -- attempts run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Failover} from './failover.ts';
import {parseStatus} from './parse-status.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** Milliseconds within which the instance must provide a connection and answer; also the pause between attempts. */
const attemptTimeoutMs = 400;

/** Milliseconds after which the host stops trying to reach the old primary. */
const stepDownLimitMs = 11_000;

/** Tells a replaced primary to step down, and retries until it answers or the time limit is reached. */
export async function sendStepDown(id: string, term: number, {group, workspace, now, log}: Failover): Promise<void> {
	const until = now().steady + stepDownLimitMs;
	while (now().steady < until) {
		const instance = group.findInstance(id);
		const acquired = await instance?.pool.acquire({workspace, priority: 0, timeout: attemptTimeoutMs});
		if (instance !== undefined && acquired?.kind === 'acquired') {
			const answer = await instance.send(acquired.connection, {kind: 'stepDown', term}, attemptTimeoutMs);
			instance.pool.release(acquired.connection, answer.kind === 'answered' && answer.state === 'idle');
			if (answer.kind === 'answered') {
				log.info({
					group: group.name, instance: id, term, ...describeOutcome(answer.outcome),
				}, 'failover: The old primary answered the request to step down.');
				return;
			}
		}

		await sleep(attemptTimeoutMs);
	}
}

/** Describes what an instance answered: the role and term that it has now, or its error. */
function describeOutcome(outcome: StatementOutcome): Readonly<Record<string, unknown>> {
	if (outcome.kind === 'failed') {
		return {code: outcome.code};
	}

	const status = parseStatus(outcome.rows[0] ?? '');
	return {role: status?.role, knownTerm: status?.term};
}
