import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Group, Host} from '@sapphirefall/decisions';
import {
	FleetService, ObjectService, TableService, type FleetGroup, type FleetHost, type FleetInstance,
} from '@sapphirefall/wire';
import type {PlatformClient} from './platform-client.ts';

/**
 * Creates a client of the platform.
 *
 * @param address URL of the platform.
 * @param timeoutMs Milliseconds to wait for an answer.
 */
export function createPlatformClient(address: string, timeoutMs: number): PlatformClient {
	const transport = createConnectTransport({baseUrl: address, httpVersion: '2'});
	const table = createClient(TableService, transport);
	const objects = createClient(ObjectService, transport);
	const fleet = createClient(FleetService, transport);
	const options = {timeoutMs};
	return {
		readRow: async name => table.readRow({name}, options),
		async writeRow(name, next) {
			const {written, row} = await table.writeRow({name, ...next}, options);
			return {isWritten: written, row: row ?? {version: 0, value: ''}};
		},
		async readObject(name) {
			const {body} = await objects.readObject({name}, options);
			return body;
		},
		async writeObject(name, body) {
			await objects.writeObject({name, body}, options);
		},
		async listFleet() {
			const listed = await fleet.listFleet({}, options);
			return {
				hosts: listed.hosts.map(host => decodeHost(host)),
				groups: listed.groups.map(group => decodeGroup(group)),
			};
		},
	};
}

function decodeHost(member: FleetHost | FleetInstance): Host {
	return {
		id: member.id, zone: member.zone, address: member.address, isDeparting: member.departing,
	};
}

function decodeGroup(group: FleetGroup): Group {
	return {database: group.database, instances: group.instances.map(instance => decodeHost(instance))};
}
