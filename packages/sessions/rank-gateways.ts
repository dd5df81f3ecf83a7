import {rankHosts} from '@sapphirefall/decisions';
import type {HostRow} from './host-row.ts';
import type {ListedInstance} from './listed-instance.ts';

type Options = {
	readonly instance: Pick<ListedInstance, 'id' | 'zone'>;
	/** Undefined when no work is to be placed, but the gateways themselves are asked for. */
	readonly workspace: string | undefined;
	/** Host that asks, and its availability zone. */
	readonly self: string;
	readonly zone: string;
	/** Hosts that connect to the instance; see `findGatewayCount`. */
	readonly count: number;
	/** Whether each gateway may hold a connection for every workspace. */
	readonly hasConnectionPerWorkspace: boolean;
	readonly hosts: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
};

/** Hosts of the asking zone that connect to an instance of another zone when its gateways cannot be reached. */
const backupCount = 1;

/** Spare hosts beyond the gateways that take their place one by one. */
const spareCount = 2;

/**
 * Ranks the hosts through which work may reach an instance, best first.
 *
 * Gateways stand in the instance's zone, so that a request crosses zones once at the most. A workspace keeps to one
 * of them, so that its connections are used again; only where each has room for all workspaces does a gateway run the
 * work of its own callers itself, which spares the way to another host. When no gateway can be reached, a host of the
 * asking zone tries the instance itself: only then does anybody outside the zone know whether the instance or its zone
 * is lost.
 */
export function rankGateways({
	instance, workspace, self, zone, count, hasConnectionPerWorkspace, hosts,
}: Options): readonly string[] {
	const local = listZone(hosts, instance.zone);
	const ranked = rankHosts(`gateway/${instance.id}`, local);
	const gateways = ranked.slice(0, count);
	const ordered = workspace === undefined ? gateways : rankHosts(`workspace/${workspace}`, gateways);
	const spares = ranked.slice(count, count + spareCount);
	const backups = zone === instance.zone ? [] : rankHosts(`gateway/${instance.id}`, listZone(hosts, zone)).slice(0, backupCount);
	const own = hasConnectionPerWorkspace && workspace !== undefined ? ordered.filter(name => name === self) : [];
	return [...new Set([...own, ...ordered, ...spares, ...backups])];
}

function listZone(hosts: Options['hosts'], zone: string): readonly string[] {
	return hosts.filter(host => host.zone === zone).map(({name}) => name);
}
