import type {CommitRecord} from './commit-record.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {SoakRecord} from './soak-record.ts';
import type {SoakWrite} from './soak-write.ts';

/**
 * Lists the writes that took effect twice, although the client was told that they did not, not although they were
 * acknowledged, or behind the promotion of another instance although they were acknowledged.
 *
 * What a promotion rolled back may be lost where commits are acknowledged before a replica has received them.
 */
export function listWrongEffects({groups}: Pick<SoakRecord, 'groups'>, writes: readonly SoakWrite[]): readonly SoakFinding[] {
	const counts = new Map<string, number>();
	for (const [item] of groups.flatMap(group => group.leader().log()).flatMap(entry => entry.writes)) {
		counts.set(item, (counts.get(item) ?? 0) + 1);
	}

	const synchronous = new Set(groups.filter(({isSynchronous}) => isSynchronous).map(({name}) => name));
	const records = new Map(groups.flatMap(group => group.commits()).flatMap(record => record.entry.writes.map(([item]) => [item, record] as const)));
	return writes.flatMap(({item, session, message, fate, told}) => {
		const count = counts.get(item) ?? 0;
		const record = records.get(item);
		const finding = {what: `${fate} (${told}) and ${count} times in the log, ${describeCommit(record)}`, session, message};
		if (count > 1) {
			return [{...finding, rule: 'TWICE'}];
		}

		if (fate === 'dropped' && count > 0) {
			return [{...finding, rule: 'REFUSED'}];
		}

		if (fate === 'kept' && record?.isBehindPromotion === true) {
			return [{...finding, rule: 'ONE (committed behind a promotion, acknowledged)'}];
		}

		const mayBeLost = record?.isRolledBack === true && !synchronous.has(record.group);
		return fate === 'kept' && count === 0 && !mayBeLost ? [{...finding, rule: 'LOST (acknowledged)'}] : [];
	});
}

function describeCommit(record: CommitRecord | undefined): string {
	return record === undefined ? 'never committed' : `committed by ${record.instance} in term ${record.entry.term} as number ${record.entry.number} at ${Math.round(record.at)}`;
}
