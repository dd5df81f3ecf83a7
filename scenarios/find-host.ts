import type {ScenarioContext} from './scenario-context.ts';

/** Finds the host that a step names; `live` means the first host that no `loseAcceptors` step has killed. */
export function findHost({cluster, killedHosts}: Pick<ScenarioContext, 'cluster' | 'killedHosts'>, name: string): string {
	return name === 'live' ? cluster.hosts.find(host => !killedHosts.has(host)) ?? '' : name;
}
