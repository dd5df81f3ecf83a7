import {isWhole} from './is-whole.ts';
import {listExecutedIds} from './list-executed-ids.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {SoakProcess} from './soak-process.ts';
import type {SoakRecord} from './soak-record.ts';

/** Milliseconds after which a host has read a statement that was sent to it. */
const readLimitMs = 200;

/** Lists the statements without a whole answer that a host had read or passed on, unless the host was killed or slowed. */
export function listCutStatements({sessions, processes, groups, gracePeriodMs, findLateness}: SoakRecord): readonly SoakFinding[] {
	const executedIds = listExecutedIds({groups});
	const findings: SoakFinding[] = [];
	for (const session of sessions.filter(({isClosedByHost}) => isClosedByHost)) {
		const hostProcess = processes.find(({host}) => host === session.host);
		const stoppedAt = findSignalTime(hostProcess, 'SIGTERM');
		if (hostProcess?.isSlowed() === true || findSignalTime(hostProcess, 'SIGKILL') < session.closedAt) {
			continue;
		}

		if (session.startState !== '' && session.closedAt < stoppedAt) {
			findings.push({rule: 'LOST', what: 'the connection was closed although the host had no SIGTERM', session});
		}

		const last = session.messages.at(-1);
		if (last?.state === 'T' && session.closedAt >= stoppedAt && session.closedAt - stoppedAt < gracePeriodMs / 2) {
			findings.push({
				rule: 'DRAIN', what: `an open transaction was closed ${Math.round(session.closedAt - stoppedAt)} ms after SIGTERM`, session, message: last,
			});
		}

		for (const message of session.messages.filter(message => !isWhole(message))) {
			const waitedMs = message.endedAt - message.sentAt;
			const after = `sent ${Math.round(message.sentAt - stoppedAt)} ms and closed ${Math.round(message.endedAt - stoppedAt)} ms after SIGTERM`;
			if (executedIds.has(message.id)) {
				findings.push({
					rule: 'LOST', what: `passed on and cut, ${after}`, session, message,
				});
			} else if (!session.isReadLate && waitedMs > readLimitMs + findLateness(message.sentAt, message.endedAt)) {
				findings.push({
					rule: 'LOST', what: `read and cut, ${after}`, session, message,
				});
			}
		}
	}

	return findings;
}

/** Returns when a process got a signal first, or infinity. */
function findSignalTime(process: SoakProcess | undefined, signal: NodeJS.Signals): number {
	return process?.signals().find(sent => sent.signal === signal)?.at ?? Number.POSITIVE_INFINITY;
}
