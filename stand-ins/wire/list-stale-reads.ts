import type {SoakFinding} from './soak-finding.ts';
import type {SoakRecord} from './soak-record.ts';
import type {SoakWrite} from './soak-write.ts';

/** The number of a group at the end of the name of a database. */
const groupNumberPattern = /-\d+$/v;

/** Milliseconds by which reads on a database may miss commits of other sessions, as in the configuration. */
const stalenessLimitsMs = new Map([['latest', 0], ['guest', 0], ['old', 1500], ['own', 2500]]);

/**
 * Lists the reads that missed a commit that was acknowledged long enough before the read or its transaction was sent, unless
 * a promotion rolled it back.
 */
export function listStaleReads({sessions, groups}: Pick<SoakRecord, 'sessions' | 'groups'>, writes: readonly SoakWrite[]): readonly SoakFinding[] {
	const rolledBack = new Set(groups.flatMap(group => group.commits()).filter(({isRolledBack}) => isRolledBack).flatMap(({entry}) => entry.writes.map(([item]) => item)));
	const kept = new Map(writes.filter(({fate, item}) => fate === 'kept' && !rolledBack.has(item)).map(write => [write.item, write]));
	return sessions.flatMap(session => {
		const findings: SoakFinding[] = [];
		const database = session.database.replace(groupNumberPattern, '');
		const limitMs = stalenessLimitsMs.get(database) ?? 0;
		let begunAt: number | undefined;
		for (const message of session.messages) {
			begunAt = message.text.startsWith('BEGIN') ? message.sentAt : begunAt;
			const item = /^(?:READ|EXECUTE get) (?<item>\S+)/v.exec(message.text)?.groups?.['item'] ?? '';
			const write = kept.get(item);
			const allowedMs = database === 'own' && write?.session === session ? 0 : limitMs;
			if (write !== undefined && message.result.startsWith('COMPLETE') && message.rows[0] === '' && write.knownAt + allowedMs < (begunAt ?? message.sentAt)) {
				findings.push({
					rule: 'STALE', what: `misses ${item}, acknowledged ${Math.round(message.sentAt - write.knownAt)} ms before, signed by ${message.result.split(' ')[1] ?? ''}`, session, message,
				});
			}

			begunAt = message.state === 'I' ? undefined : begunAt;
		}

		return findings;
	});
}
