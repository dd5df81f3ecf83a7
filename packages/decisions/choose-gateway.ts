import {listLiveHosts} from './list-live-hosts.ts';
import {rankHosts} from './rank-hosts.ts';
import type {AdmittedRequest} from './admitted-request.ts';
import type {HostState} from './host-state.ts';

/**
 * Chooses the host that executes a request: the gateway for the database in the zone of the instance.
 *
 * Each zone has one gateway for a database, so that all requests go through one host, which shares its few
 * connections fairly among them. A read that a replica may serve goes to the gateway of this host's zone if the zone
 * has an instance of the group; all other requests go to the gateway of the primary's zone.
 *
 * @param state The state of this host.
 * @param request The request.
 * @returns The gateway's identifier, or that of this host if no live host is known in the zone.
 */
export function chooseGateway(state: HostState, request: AdmittedRequest): string {
	const {self} = state.membership;
	const view = state.groups.get(request.database)?.view;
	const instances = view?.group.instances ?? [];
	const {work} = request;
	const allowsReplica = work.kind === 'read'
		&& (work.freshness.kind === 'within' || (work.freshness.kind === 'session' && work.point !== undefined));
	const hasLocalInstance = allowsReplica && instances.some(({zone, isDeparting}) => zone === state.zone && !isDeparting);
	const zone = hasLocalInstance ? state.zone : instances.find(({id}) => id === view?.primary)?.zone;
	const candidates = listLiveHosts(state.membership).filter(host => host.zone === zone).map(({id}) => id);
	return rankHosts(`gateway/${request.database}/${zone}`, candidates)[0] ?? self;
}
