/* eslint-disable no-await-in-loop -- the host looks again after a pause */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Caller} from './caller.ts';
import {createFleetControl} from './create-fleet-control.ts';
import {createGateway} from './create-gateway.ts';
import {createGateways} from './create-gateways.ts';
import {createRatePartitions} from './create-rate-partitions.ts';
import {createSession} from './create-session.ts';
import {createSessionGroup} from './create-session-group.ts';
import {createTableReader} from './create-table-reader.ts';
import type {Directory} from './directory.ts';
import {findAccess} from './find-access.ts';
import {findConnectionLimit} from './find-connection-limit.ts';
import {findElapsed} from './find-elapsed.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {HostProfile} from './host-profile.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {KnownDirectory} from './known-directory.ts';
import type {KnownTable} from './known-table.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenLink} from './open-link.ts';
import type {OrderPromotion} from './order-promotion.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {Session} from './session.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionHost} from './session-host.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	readonly profile: HostProfile;
	readonly store: Store;
	readonly openLink: OpenLink;
	readonly orderPromotion: OrderPromotion;
	/** Opens the way to another host. */
	readonly createPeer: (address: string) => FleetPeer;
	readonly decodeDirectory: (text: string) => Directory;
	readonly decodeInstance: (id: string, text: string) => ListedInstance | undefined;
	readonly now: () => Instant;
	readonly log: SessionLog;
	readonly onAnswered: SessionContext['onAnswered'];
	/** Called with the number of open sessions when it changes. */
	readonly onSessions: (count: number) => void;
};

/** Milliseconds between two rounds of small tasks. */
const tickInterval = 100;

/** Milliseconds between two samples of a primary's position, for a host that tells others and for one that is told. */
const sampleIntervals = {reading: 300, told: 900};

/** Milliseconds for which what the platform lists counts as recent. */
const listFreshness = 6500;

/** Milliseconds for which sessions may go on idle after the request to stop, so that callers are sent elsewhere first. */
const sessionGrace = 2200;

/** Milliseconds left between the last session and the end of the process. */
const exitMargin = 1200;

/** Starts a host that serves sessions: it learns what the store holds, and takes callers once it knows enough. */
export function startSessionHost(options: Options): SessionHost {
	const {profile, store, now, log} = options;
	const groups = new Map<string, SessionGroup>();
	const sessions = new Set<Session>();
	const peers = new Map<string, {readonly address: string; readonly peer: FleetPeer}>();
	const tables = new Map<StoreTable, KnownTable>();
	const own: HostRow = {
		name: profile.name, zone: profile.zone, address: `${profile.listen.hosts.host}:${profile.listen.hosts.port}`, incarnation: Math.trunc(now().wall),
	};
	let known: KnownDirectory | undefined;
	let directoryRowVersion = -1;
	let listed: readonly ListedInstance[] = [];
	let fleet: FleetRows | undefined;
	let sessionCount = 0;
	let isStopping = false;
	let isDoorClosed = false;

	const findWorkspace = () => known?.directory.limits.keys().next().value;

	const findPeer = (name: string): FleetPeer | undefined => {
		const address = fleet?.hosts.get(name)?.address;
		const before = peers.get(name);
		if (address === undefined || before?.address === address) {
			return before?.peer;
		}

		const peer = options.createPeer(address);
		peers.set(name, {address, peer});
		return peer;
	};

	const control = createFleetControl({
		own,
		store,
		listGateways: instance => gateways.list(instance, undefined),
		listGroups: () => [...groups.values()],
		listInstances: () => listed,
		isListFresh() {
			const table = tables.get('instances');
			return table !== undefined && findElapsed(table.provenAt, now()) < listFreshness;
		},
		findPeer,
		listSilentHosts: () => rates.listSilentHosts(),
		orderPromotion: options.orderPromotion,
		findWorkspace,
		now,
		log,
	});

	const rates = createRatePartitions({
		self: own.name,
		incarnation: own.incarnation,
		bound: profile.rateBound,
		findLimits: () => known?.directory.limits ?? new Map(),
		findPeer,
		findFleetProof: () => tables.get('fleet')?.provenAt,
		store,
		now,
		log,
	});

	const gateways = createGateways({
		own, findFleet: () => fleet, findPeer, now: () => now().steady,
	});

	const updateGroups = () => {
		for (const [name, cap] of known?.directory.connectionCaps ?? []) {
			const group = groups.get(name) ?? createSessionGroup(name, {
				zone: profile.zone,
				openLink: options.openLink,
				gateways,
				now,
				log,
				findWorkspace,
				findSampleInterval: () => reader.isReading() ? sampleIntervals.reading : sampleIntervals.told,
			});
			groups.set(name, group);
			group.updateInstances(listed.filter(entry => entry.group === name), findConnectionLimit(cap));
			if (control.isRegistered()) {
				group.setRegistered();
			}

			const fleetTable = tables.get('fleet');
			if (fleetTable !== undefined) {
				group.updateRow(fleet?.groups.get(name), fleetTable.provenAt);
			}
		}
	};

	const takeConfiguration = ({rows, provenAt}: KnownTable) => {
		const row = rows.get('config');
		if (row?.value === undefined) {
			return;
		}

		if (known !== undefined && row.version === directoryRowVersion) {
			known = {...known, provenAt};
			return;
		}

		try {
			const directory = options.decodeDirectory(row.value);
			if (known === undefined || directory.version >= known.directory.version) {
				directoryRowVersion = row.version;
				known = {directory, provenAt};
				log.info({version: directory.version, routes: directory.routes.size, workspaces: directory.limits.size}, 'configuration: A version is in force.');
			}
		} catch (error) {
			log.warn({version: row.version, error: (error as Error).message}, 'configuration: A version cannot be read; the older one stays.');
		}
	};

	const takeInstances = ({rows}: KnownTable) => {
		listed = [...rows]
			.map(([id, row]) => options.decodeInstance(id, row.value ?? ''))
			.filter(entry => entry !== undefined);
	};

	const takeFleet = ({rows}: KnownTable) => {
		fleet = parseFleetRows(rows.values(), log);
		control.updateFleet(fleet);
		rates.updateFleet(fleet);
	};

	const takeTable = (table: StoreTable, newer: KnownTable) => {
		const before = tables.get(table);
		tables.set(table, newer);
		if (table === 'configuration') {
			takeConfiguration(newer);
		} else if (before?.rows !== newer.rows) {
			(table === 'instances' ? takeInstances : takeFleet)(newer);
		}

		updateGroups();
	};

	const reader = createTableReader({
		self: own.name,
		zone: own.zone,
		store,
		listHosts: () => [...fleet?.hosts.values() ?? []],
		findPeer,
		isFleetNew: () => fleet?.groups.size === 0,
		onTable: takeTable,
		listPositions: () => [...groups.values()].map(group => group.findNewestPosition()).filter(position => position !== undefined),
		onPositions(positions, from) {
			for (const position of positions) {
				groups.get(position.group)?.notePosition(position, from);
			}
		},
		now,
		log,
	});

	const tick = () => {
		control.step();
		rates.step();
		for (const group of groups.values()) {
			void group.probe();
		}
	};

	const timer = setInterval(tick, tickInterval);

	const findCallerAccess = (caller: Caller) => findAccess(known, {
		...caller, revocationLimit: profile.revocationLimit, newsLimit: profile.configurationLimit, now: now(),
	});

	const gateway = createGateway({
		findInstance: (group, id) => groups.get(group)?.findInstance(id),
		findAccess: findCallerAccess,
	});

	const context: SessionContext = {
		now,
		findAccess: findCallerAccess,
		transactionIdle: () => known?.directory.transactionIdle ?? 0,
		findGroup: name => groups.get(name),
		takeOperation: rates.takeOperation,
		onAnswered: options.onAnswered,
		log,
	};

	return {
		openSession(connection) {
			sessionCount++;
			const session = createSession({
				context,
				number: sessionCount,
				send: connection.send,
				close() {
					sessions.delete(session);
					connection.close();
				},
			});
			sessions.add(session);
			options.onSessions(sessions.size);
			if (isDoorClosed) {
				session.stop();
			}

			return {
				...session,
				end() {
					sessions.delete(session);
					options.onSessions(sessions.size);
					session.end();
				},
			};
		},
		isReady: () => !isStopping && known !== undefined && listed.length > 0 && control.isRegistered(),
		peer: {
			readTables: reader.readTables,
			claimRates: rates.claimRates,
			fenceGroup: control.fenceGroup,
			confirmSilence: control.confirmSilence,
			runJob: gateway.runJob,
			ping: async () => true,
		},
		async stop(closeDoor) {
			isStopping = true;
			gateway.close();
			log.info({sessions: sessions.size}, 'host: The host stops; it takes no new callers.');
			await sleep(sessionGrace);
			closeDoor();
			isDoorClosed = true;
			for (const session of sessions) {
				session.stop();
			}

			const until = now().steady + profile.graceSpan - sessionGrace - exitMargin;
			while (sessions.size + gateway.countOpen() > 0 && now().steady < until) {
				await sleep(tickInterval);
			}

			for (const session of sessions) {
				session.abort();
			}

			// The last answers are written out meanwhile.
			await sleep(tickInterval);
			await Promise.race([control.leave(), sleep(exitMargin / 2)]);
			clearInterval(timer);
			reader.stop();
			log.info({}, 'host: The host has stopped.');
		},
	};
}
