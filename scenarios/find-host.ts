import type {Stage} from './stage.ts';

/** Finds the host that a step names; `live` stands for the first one that no `loseAcceptors` step has killed. */
export function findHost({cluster, lost}: Pick<Stage, 'cluster' | 'lost'>, name: string): string {
	return name === 'live' ? cluster.hosts.find(host => !lost.has(host)) ?? '' : name;
}
