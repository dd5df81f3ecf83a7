import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';
import type {ListedInstance} from './listed-instance.ts';

type Options = {
	readonly instance: Pick<ListedInstance, 'id' | 'zone'>;
	/** Undefined when only the gateways themselves are wanted, for no particular workspace. */
	readonly workspace: string | undefined;
	/** Name of this host. */
	readonly self: string;
	/** Availability zone of this host. */
	readonly zone: string;
	/** Number of gateways of the instance; see `findGatewayCount`. */
	readonly count: number;
	/** Whether the connection limit lets each gateway hold a connection for every workspace. */
	readonly hasConnectionPerWorkspace: boolean;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
};

/** Hosts of this host's zone that connect to an instance of another zone when the gateways there cannot be reached. */
const fallbackCount = 1;

/** Hosts ranked after the gateways, which replace unreachable gateways one by one. */
const standbyCount = 2;

/**
 * Ranks the hosts through which work may reach an instance, best first.
 *
 * Gateways are in the instance's zone, so that a request crosses zones at most once. Each workspace is assigned to one
 * gateway, so that its connections are reused. Where every gateway may hold a connection for each workspace, a gateway
 * runs the work of its own callers itself, which saves a hop to another host. When no gateway can be reached, a host of
 * the requesting zone tries the instance directly: without it, no host outside the instance's zone would learn whether
 * the instance or its zone is lost.
 */
export function rankGateways({
	instance, workspace, self, zone, count, hasConnectionPerWorkspace, hosts,
}: Options): readonly string[] {
	const sameZone = listZone(hosts, instance.zone);
	const ranked = rankHosts(`gateway/${instance.id}`, sameZone);
	const gateways = ranked.slice(0, count);
	const ordered = workspace === undefined ? gateways : rankHosts(`workspace/${workspace}`, gateways);
	const standbys = ranked.slice(count, count + standbyCount);
	const fallbacks = zone === instance.zone ? [] : rankHosts(`gateway/${instance.id}`, listZone(hosts, zone)).slice(0, fallbackCount);
	const own = hasConnectionPerWorkspace && workspace !== undefined ? ordered.filter(name => name === self) : [];
	return [...new Set([...own, ...ordered, ...standbys, ...fallbacks])];
}

function listZone(hosts: Options['hosts'], zone: string): readonly string[] {
	return hosts.filter(host => host.zone === zone).map(({name}) => name);
}
