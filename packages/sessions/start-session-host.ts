import {setTimeout as sleep} from 'node:timers/promises';
import type {Caller} from './caller.ts';
import {createFleetController} from './create-fleet-controller.ts';
import {createGateway} from './create-gateway.ts';
import {createGateways} from './create-gateways.ts';
import {createHostKnowledge} from './create-host-knowledge.ts';
import {createRatePartitions} from './create-rate-partitions.ts';
import {createSessionGroup} from './create-session-group.ts';
import {createSessionRegistry} from './create-session-registry.ts';
import {createTableReader} from './create-table-reader.ts';
import type {Directory} from './directory.ts';
import {findAccess} from './find-access.ts';
import {findConnectionLimit} from './find-connection-limit.ts';
import {findElapsed} from './find-elapsed.ts';
import {findGatewayCount} from './find-gateway-count.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {HostProfile} from './host-profile.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {KnownTable} from './known-table.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenLink} from './open-link.ts';
import type {OrderPromotion} from './order-promotion.ts';
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
const tickInterval = 200;

/** Milliseconds for which what the platform lists counts as recent. */
const listFreshness = 6500;

/** Milliseconds that taking the registration back may last when the host stops. */
const leaveLimit = 600;

/** Starts a host that serves sessions: it learns what the store holds, and takes callers once it knows enough. */
export function startSessionHost(options: Options): SessionHost {
	const {profile, store, now, log} = options;
	const groups = new Map<string, SessionGroup>();
	const peers = new Map<string, {readonly address: string; readonly peer: FleetPeer}>();
	const own: HostRow = {
		name: profile.name, zone: profile.zone, address: `${profile.listen.hosts.host}:${profile.listen.hosts.port}`, incarnation: Math.trunc(now().wall),
	};
	let isStopping = false;

	const knowledge = createHostKnowledge({
		decodeDirectory: options.decodeDirectory,
		decodeInstance: options.decodeInstance,
		onFleet(fleet) {
			control.updateFleet(fleet);
			rates.updateFleet(fleet);
		},
		log,
	});
	const {findDirectory, findFleet, listInstances, findProof} = knowledge;
	const findWorkspace = () => findDirectory()?.directory.limits.keys().next().value;

	const findPeer = (name: string): FleetPeer | undefined => {
		const address = findFleet()?.hosts.get(name)?.address;
		const before = peers.get(name);
		if (address === undefined || before?.address === address) {
			return before?.peer;
		}

		const peer = options.createPeer(address);
		peers.set(name, {address, peer});
		return peer;
	};

	const control = createFleetController({
		own,
		store,
		listGateways: instance => gateways.list(instance, undefined),
		listGroups: () => [...groups.values()],
		listInstances,
		isListFresh() {
			const proof = findProof('instances');
			return proof !== undefined && findElapsed(proof, now()) < listFreshness;
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
		findLimits: () => findDirectory()?.directory.limits ?? new Map(),
		findPeer,
		findFleetProof: () => findProof('fleet'),
		store,
		now,
		log,
	});

	const findGateways = () => findGatewayCount({hosts: findFleet()?.hosts.size ?? 0, instances: listInstances().length});

	const gateways = createGateways({
		own,
		findFleet,
		findPeer,
		findCount: findGateways,
		isRoomy(group) {
			const directory = findDirectory()?.directory;
			return findConnectionLimit(directory?.connectionCaps.get(group) ?? 0, findGateways()) >= (directory?.limits.size ?? Number.POSITIVE_INFINITY);
		},
		now: () => now().steady,
	});

	const updateGroups = () => {
		for (const [name, cap] of findDirectory()?.directory.connectionCaps ?? []) {
			const group = groups.get(name) ?? createSessionGroup(name, {
				zone: profile.zone,
				openLink: options.openLink,
				gateways,
				now,
				log,
				findWorkspace,
				isReading: () => reader.isReading(),
			});
			groups.set(name, group);
			group.updateInstances(listInstances().filter(entry => entry.group === name), findConnectionLimit(cap, findGateways()));
			if (control.isRegistered()) {
				group.setRegistered();
			}

			const proof = findProof('fleet');
			if (proof !== undefined) {
				group.updateRow(findFleet()?.groups.get(name), proof);
			}
		}
	};

	const takeTable = (table: StoreTable, newer: KnownTable) => {
		knowledge.takeTable(table, newer);
		updateGroups();
	};

	const reader = createTableReader({
		self: own.name,
		zone: own.zone,
		store,
		listHosts: () => [...findFleet()?.hosts.values() ?? []],
		findPeer,
		isFirstStart: profile.isFirstStart,
		register: control.register,
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

	const findCallerAccess = (caller: Caller) => findAccess(findDirectory(), {
		...caller, revocationLimit: profile.revocationLimit, newsLimit: profile.configurationLimit, now: now(),
	});

	const gateway = createGateway({
		findInstance: (group, id) => groups.get(group)?.findInstance(id),
		findAccess: findCallerAccess,
	});

	const context: SessionContext = {
		now,
		findAccess: findCallerAccess,
		transactionIdle: () => findDirectory()?.directory.transactionIdle ?? 0,
		findGroup: name => groups.get(name),
		takeOperation: rates.takeOperation,
		onAnswered: options.onAnswered,
		log,
	};

	const registry = createSessionRegistry({
		context, onSessions: options.onSessions, countForeign: gateway.countOpen, graceSpan: profile.graceSpan, now,
	});

	return {
		openSession: registry.openSession,
		isReady: () => !isStopping && findDirectory() !== undefined && listInstances().length > 0 && control.isRegistered(),
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
			log.info({sessions: registry.count(), foreign: gateway.countOpen()}, 'host: The host stops; it takes no new callers.');
			await registry.stop(closeDoor);
			await Promise.race([control.leave(), sleep(leaveLimit)]);
			clearInterval(timer);
			reader.stop();
			log.info({}, 'host: The host has stopped.');
		},
	};
}
