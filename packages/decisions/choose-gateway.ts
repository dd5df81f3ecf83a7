import {listLiveHosts} from './list-live-hosts.ts';
import {rankHosts} from './rank-hosts.ts';
import type {AdmittedRequest} from './admitted-request.ts';
import type {HostState} from './host-state.ts';

/**
 * Chooses the host that carries out a request: the gateway of the database in the zone where the data is.
 *
 * All requests of a zone for a database meet at one host, which shares its few connections fairly. A read that
 * a replica may serve goes to the gateway of this host's zone, all else to that of the primary's zone.
 *
 * @param state The state of this host.
 * @param request The request.
 * @returns A host, which is this one when no better is known.
 */
export function chooseGateway(state: HostState, request: AdmittedRequest): string {
	const {self} = state.membership;
	const view = state.groups.get(request.database)?.view;
	const instances = view?.group.instances ?? [];
	const {work} = request;
	const isPatient = work.kind === 'read'
		&& (work.freshness.kind === 'within' || (work.freshness.kind === 'session' && work.point !== undefined));
	const isNear = isPatient && instances.some(({zone, isDeparting}) => zone === state.zone && !isDeparting);
	const zone = isNear ? state.zone : instances.find(({id}) => id === view?.primary)?.zone;
	const candidates = listLiveHosts(state.membership).filter(host => host.zone === zone).map(({id}) => id);
	return rankHosts(`gateway/${request.database}/${zone}`, candidates)[0] ?? self;
}
