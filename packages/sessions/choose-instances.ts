import type {InstanceHealth} from './instance-health.ts';

type Options = {
	/** Ids of the instances that the platform lists, in its order. */
	readonly listed: readonly string[];
	/** Instances that are used in any case: the primary, and its successor during a failover. */
	readonly needed: ReadonlySet<string>;
	/** Returns what the host has observed of an instance; undefined if the host does not use it. */
	readonly findHealth: (id: string) => InstanceHealth | undefined;
	/** Number of instances to choose. */
	readonly limit: number;
	/** Unused instance that was taken last; the next ones are those listed behind it, so that all have their turn. */
	readonly lastTaken: string | undefined;
};

/**
 * Chooses the instances of a group that a host uses, when the platform lists more than it can use.
 *
 * Instances that have answered go before those that have not, whatever the platform lists beside them. An instance that has
 * only failed gives its place to one that was not tried.
 */
export function chooseInstances({
	listed, needed, findHealth, limit, lastTaken,
}: Options): readonly string[] {
	const start = lastTaken === undefined ? 0 : listed.indexOf(lastTaken) + 1;
	return [...listed.slice(start), ...listed.slice(0, start)]
		.map(id => ({id, rank: needed.has(id) ? ranks.needed : findRank(findHealth(id))}))
		.toSorted((a, b) => a.rank - b.rank)
		.slice(0, limit)
		.map(({id}) => id);
}

/** Ranks of instances, best first. */
const ranks = {
	needed: 0, answered: 1, used: 2, unused: 3, failed: 4,
} as const;

function findRank(health: InstanceHealth | undefined): number {
	if (health === undefined) {
		return ranks.unused;
	}

	if (health.hasAnswered) {
		return ranks.answered;
	}

	return health.failures === 0 ? ranks.used : ranks.failed;
}
