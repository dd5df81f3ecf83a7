import type {CommitRecord} from './commit-record.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import type {SoakRecord} from './soak-record.ts';

/** A commit of one item, and what became of it. */
type Commit = Partial<Pick<CommitRecord, 'isBehindPromotion' | 'isRolledBack'>> & {
	readonly item: string;
	/** How often the log of the leader holds it. */
	readonly count: number;
};

/** Creates a group of a soak that has made these commits, and acknowledged them only once a replica had them if it is synchronous. */
export function createSoakGroup(commits: readonly Commit[], isSynchronous = false): SoakRecord['groups'][number] {
	const records = commits.map(({item, isBehindPromotion = false, isRolledBack = false}, index) => ({
		group: 'pondbook', instance: 'i-a', entry: {term: 1, number: index + 1, writes: [[item, `of-${item}`]] as const}, at: 0, isBehindPromotion, isRolledBack,
	}));
	const log = commits.flatMap(({count}, index) => Array.from({length: count}, () => records[index]?.entry).filter(entry => entry !== undefined));
	const leader = {log: () => log} as unknown as InstanceStandIn;
	return {
		name: 'pondbook', isSynchronous, instances: [leader], leader: () => leader, commits: () => records,
	};
}
