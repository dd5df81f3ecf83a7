import type {PooledConnection} from './pooled-connection.ts';

type IdleConnection = Pick<PooledConnection, 'workspace' | 'idleSince'>;

/**
 * Chooses the idle connection that is closed to make room: the one for which there is least demand, or that has been
 * idle for longest. The idle connections of a workspace share its demand.
 *
 * @param idle The idle connections, the one that has been idle for longest first.
 * @param findDemand Returns the recent demand of a workspace.
 */
export function chooseEviction<Idle extends IdleConnection>(idle: readonly Idle[], findDemand: (workspace: string) => number): Idle | undefined {
	const counts = new Map<string, number>();
	for (const {workspace} of idle) {
		counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
	}

	const findWorth = ({workspace}: Idle) => findDemand(workspace) / (counts.get(workspace) ?? 1);
	const [first, ...others] = idle;
	return first && others.reduce((least, other) => findWorth(other) < findWorth(least) ? other : least, first); // eslint-disable-line unicorn/no-array-reduce -- the least of a list
}
