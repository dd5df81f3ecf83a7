import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {Code, ConnectError, type ConnectRouter} from '@connectrpc/connect';
import {
	FleetService, ObjectService, PlatformFaultSchema, PlatformFaultService, TableService,
	type ListFleetResponse, type PlatformFault,
} from '@sapphirefall/wire';

/** A simulated platform: a table with compare-and-set, an object store, and a list of hosts and groups. */
type Platform = {
	/** Creates the routes for one availability zone. The fleet list holds addresses that are reachable from that zone. */
	readonly createRoutes: (fleet: ListFleetResponse) => (router: ConnectRouter) => void;
};

/**
 * Creates an in-memory platform. Faults are injected through `PlatformFaultService`.
 *
 * @param onRowWritten Called when a row of the table is written, even if the answer is lost.
 */
export function createPlatform(onRowWritten: (row: string, version: number) => void): Platform {
	const rows = new Map<string, {version: number; value: string}>();
	const objects = new Map<string, Uint8Array>();
	let fault: PlatformFault = create(PlatformFaultSchema, {});
	let reads = 0;
	let writes = 0;

	const simulateFault = async () => {
		await sleep(fault.delayMs);
		if (fault.down) {
			throw new ConnectError('the platform is down', Code.Unavailable);
		}
	};

	const throwIfAnswerLost = () => {
		if (fault.lostAnswers > 0) {
			fault = {...fault, lostAnswers: fault.lostAnswers - 1};
			throw new ConnectError('the answer was lost', Code.Unavailable);
		}
	};

	const addTableService = (router: ConnectRouter) => {
		router.service(TableService, {
			async readRow({name}) {
				reads++;
				await simulateFault();
				return rows.get(name) ?? {version: 0, value: ''};
			},
			async writeRow({name, expectedVersion, value}) {
				writes++;
				await simulateFault();
				const row = rows.get(name) ?? {version: 0, value: ''};
				if (row.version !== expectedVersion) {
					return {written: false, row};
				}

				const written = {version: row.version + 1, value};
				rows.set(name, written);
				onRowWritten(name, written.version);
				throwIfAnswerLost();
				return {written: true, row: written};
			},
		});
	};

	const addObjectService = (router: ConnectRouter) => {
		router.service(ObjectService, {
			async readObject({name}) {
				reads++;
				await simulateFault();
				const body = objects.get(name);
				if (body === undefined) {
					throw new ConnectError(`the object "${name}" does not exist`, Code.NotFound);
				}

				return {name, body};
			},
			async writeObject({name, body}) {
				writes++;
				await simulateFault();
				objects.set(name, body);
				return {};
			},
		});
	};

	return {
		createRoutes: fleet => router => {
			addTableService(router);
			addObjectService(router);
			router.service(FleetService, {
				async listFleet() {
					reads++;
					await simulateFault();
					return applyListFault(fleet, {departing: new Set(fault.departing), unlisted: new Set(fault.unlisted)});
				},
			});
			router.service(PlatformFaultService, {
				setFault(next) {
					fault = next;
					return {reads, writes};
				},
			});
		},
	};
}

/** Marks departing hosts and instances, and omits unlisted hosts. */
function applyListFault(
	fleet: ListFleetResponse,
	{departing, unlisted}: {readonly departing: ReadonlySet<string>; readonly unlisted: ReadonlySet<string>},
): ListFleetResponse {
	return {
		...fleet,
		hosts: fleet.hosts.filter(({id}) => !unlisted.has(id)).map(host => ({...host, departing: departing.has(host.id)})),
		groups: fleet.groups.map(group => ({
			...group,
			instances: group.instances.map(instance => ({...instance, departing: departing.has(instance.id)})),
		})),
	};
}
