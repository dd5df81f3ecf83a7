import type {Caller} from './caller.ts';
import type {ColdInstances} from './cold-instances/cold-instances.ts';
import {createPermitKey} from './cold-instances/create-permit-key.ts';
import {isPermitValid} from './cold-instances/is-permit-valid.ts';
import {createByteBudget} from './create-byte-budget.ts';
import {createEvacuations} from './evacuation/create-evacuations.ts';
import {createFleetController} from './create-fleet-controller.ts';
import {createGateway} from './create-gateway.ts';
import {createGateways} from './create-gateways.ts';
import {createHostStop} from './create-host-stop.ts';
import {createStoreCache} from './create-store-cache.ts';
import {createRateLimiter} from './create-rate-limiter.ts';
import {createPeerFinder} from './create-peer-finder.ts';
import {createSessionGroups} from './create-session-groups.ts';
import {createSessionRegistry} from './create-session-registry.ts';
import {createTableSync} from './create-table-sync.ts';
import type {SessionConfiguration} from './session-configuration.ts';
import {findAccess} from './find-access.ts';
import {findConnectionLimit} from './pools/find-connection-limit.ts';
import {findElapsed} from './find-elapsed.ts';
import {findUnrestrictedWorkspace} from './regions/find-unrestricted-workspace.ts';
import {findGatewayCount} from './find-gateway-count.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {HostProfile} from './host-profile.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {CachedTable} from './cached-table.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {MemoryLimits} from './memory-limits.ts';
import type {OpenConnection} from './open-connection.ts';
import type {OrderPromotion} from './order-promotion.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionHost} from './session-host.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';
import type {EndedWait} from './waiting/ended-wait.ts';

type Options = {
	readonly profile: HostProfile;
	readonly store: Store;
	readonly openConnection: OpenConnection;
	readonly orderPromotion: OrderPromotion;
	/** Creates the client for calls to another host. */
	readonly createPeer: (address: string) => FleetPeer;
	readonly decodeConfiguration: (text: string) => SessionConfiguration;
	readonly decodeInstance: (id: string, text: string) => ListedInstance | undefined;
	/** Finds the zone that a row of the operators evacuates, by its key; undefined if it evacuates none. */
	readonly decodeEvacuatedZone: (key: string) => string | undefined;
	/** Called with the number of evacuated zones when it changes. */
	readonly onEvacuatedZoneCount: (count: number) => void;
	readonly now: () => Instant;
	readonly memoryLimits: MemoryLimits;
	/** When this process started, in milliseconds of the steady clock. */
	readonly startedAt: number;
	readonly log: SessionLog;
	/** Log of the lines that callers cause, which has a limit of its own. */
	readonly sessionLog: SessionLog;
	readonly onAnswered: SessionContext['onAnswered'];
	readonly onColdRefused: ColdInstances['onRefused'];
	readonly onRegionRefused: SessionContext['onRegionRefused'];
	/** Called when a request no longer waits for a connection of this host. */
	readonly onWaitEnded: (wait: EndedWait) => void;
	/** Called with the number of open sessions when it changes. */
	readonly onSessionCount: (count: number) => void;
	/** Ends the server of other hosts' calls within a time in milliseconds, without losing calls. */
	readonly stopServingHosts: (limitMs: number) => Promise<void>;
};

/** Time between two runs of the periodic tasks. */
const tickIntervalMs = 200;

/** Age up to which the platform's list of instances counts as recent. */
const maxInstanceListAgeMs = 6500;

/**
 * Starts a host that serves sessions. The host reads the store's tables, and is ready for callers once it knows the
 * configuration and the instances and is registered in the store.
 */
export function startSessionHost(options: Options): SessionHost {
	const {profile, store, now, log} = options;
	const own: HostRow = {
		name: profile.name, zone: profile.zone, address: `${profile.listen.hosts.host}:${profile.listen.hosts.port}`, incarnation: Math.trunc(now().wall), leaseMs: leaseDurationMs,
	};

	const evacuations = createEvacuations({
		limitMs: profile.evacuationLimitMs,
		listInstances: () => groups.listGroups().flatMap(group => group.listInstances()),
		onReturned(instance) {
			const {id, zone} = instance.listed();
			log.debug({id, zone}, 'evacuation: The host may use the instance again.');
			instance.pace.restart();
		},
		onCount: options.onEvacuatedZoneCount,
		now,
		log,
	});

	const storeCache = createStoreCache({
		decodeConfiguration: options.decodeConfiguration,
		decodeInstance: options.decodeInstance,
		decodeEvacuatedZone: options.decodeEvacuatedZone,
		onEvacuations: evacuations.update,
		onFleet(fleet) {
			fleetController.updateFleet(fleet);
			rateLimiter.updateFleet(fleet);
		},
		log,
	});
	const {findConfiguration, findFleet, listInstances, findConfirmedAt} = storeCache;
	const findWorkspace = () => {
		const cached = findConfiguration();
		return cached && findUnrestrictedWorkspace(cached.configuration);
	};

	const findPeer = createPeerFinder({findAddress: name => findFleet()?.hosts.get(name)?.address, createPeer: options.createPeer});

	const countGateways = () => findGatewayCount({hosts: findFleet()?.hosts.size ?? 0, instances: listInstances().length});

	const gateways = createGateways({
		own,
		findFleet,
		findPeer,
		countGateways,
		hasConnectionPerWorkspace(group) {
			const configuration = findConfiguration()?.configuration;
			return findConnectionLimit(configuration?.connectionLimits.get(group) ?? 0, countGateways()) >= (configuration?.limits.size ?? Number.POSITIVE_INFINITY);
		},
		regions: profile.regions,
		now: () => now().steady,
	});

	const fleetController = createFleetController({
		own,
		store,
		gateways,
		listGroups: () => groups.listGroups(),
		listInstances,
		drainLimitMs: profile.drainLimitMs,
		isEvacuated: evacuations.isEvacuated,
		isSynchronous: group => findConfiguration()?.configuration.synchronousGroups.has(group) ?? false,
		isListFresh() {
			const confirmedAt = findConfirmedAt('instances');
			return confirmedAt !== undefined && findElapsed(confirmedAt, now()) < maxInstanceListAgeMs;
		},
		findPeer,
		listSilentHosts: () => rateLimiter.listSilentHosts(),
		orderPromotion: options.orderPromotion,
		findWorkspace,
		now,
		log,
	});

	const rateLimiter = createRateLimiter({
		self: own.name,
		incarnation: own.incarnation,
		startedAt: options.startedAt,
		bound: profile.rateBound,
		findLimits: () => findConfiguration()?.configuration.limits ?? new Map(),
		warmup: {findLimits: () => findConfiguration()?.configuration.warmupLimits ?? new Map(), bound: profile.warmupBound},
		findPeer,
		findFleetConfirmedAt: () => findConfirmedAt('fleet'),
		store,
		now,
		log,
	});

	const coldInstances: ColdInstances = {
		findLimit: group => findConfiguration()?.configuration.warmupLimits.get(group),
		takePermit: async (instance, maxWaitMs) => rateLimiter.takePermit(createPermitKey(instance), maxWaitMs),
		isValid: permit => isPermitValid(permit, now()),
		onCold({group, id, born}, span) {
			log.info({
				group, id, born, span: Math.round(span),
			}, 'instances: The host takes the instance for cold.');
		},
		onRefused: options.onColdRefused,
	};

	const groups = createSessionGroups({
		coldInstances,
		zone: profile.zone,
		openConnection: options.openConnection,
		onWaitEnded: options.onWaitEnded,
		gateways,
		findZonePhase: evacuations.findPhase,
		now,
		log,
		findWorkspace,
		isStoreReader: () => tableSync.isStoreReader(),
		cache: storeCache,
		countGateways,
		isRegistered: fleetController.isRegistered,
	});

	const updateTable = (table: StoreTable, newer: CachedTable) => {
		storeCache.updateTable(table, newer);
		groups.update();
	};

	const tableSync = createTableSync({
		self: own.name,
		zone: own.zone,
		store,
		listHosts: () => [...findFleet()?.hosts.values() ?? []],
		findPeer,
		isFirstStart: profile.isFirstStart,
		register: fleetController.register,
		chooseRows: storeCache.chooseRows,
		onTable: updateTable,
		listPositions: groups.listPositions,
		onPositions: groups.recordPositions,
		now,
		log,
	});

	const tick = () => {
		fleetController.step();
		rateLimiter.step();
		for (const group of groups.listGroups()) {
			void group.step();
		}
	};

	const timer = setInterval(tick, tickIntervalMs);

	const findCallerAccess = (caller: Caller) => findAccess(findConfiguration(), {
		...caller, revocationLimitMs: profile.revocationLimitMs, configurationLimitMs: profile.configurationLimitMs, now: now(),
	});

	const statementBudget = createByteBudget(options.memoryLimits.statementBytes);

	const gateway = createGateway({
		findInstance: (group, id) => groups.findGroup(group)?.findInstance(id),
		findAccess: findCallerAccess,
		regions: profile.regions,
		statementBudget,
		now: () => now().steady,
	});

	const context: SessionContext = {
		now,
		findStopPhase: () => hostStop.findPhase(),
		findAccess: findCallerAccess,
		transactionIdleLimit: () => findConfiguration()?.configuration.transactionIdleLimit ?? 0,
		regions: profile.regions,
		onRegionRefused: options.onRegionRefused,
		findGroup: groups.findGroup,
		takeOperation: rateLimiter.takeOperation,
		valueBudget: createByteBudget(options.memoryLimits.valueBytes),
		statementBudget,
		onAnswered: options.onAnswered,
		log: options.sessionLog,
	};

	const registry = createSessionRegistry({context, onSessionCount: options.onSessionCount});

	const hostStop = createHostStop({
		gracePeriodMs: profile.gracePeriodMs,
		redirectMs: profile.redirectMs,
		sessions: registry,
		gateway,
		stopPeriodicWork() {
			clearInterval(timer);
			tableSync.stop();
		},
		stopServingHosts: options.stopServingHosts,
		leave: fleetController.leave,
		now: () => now().steady,
		log,
	});

	return {
		openSession: registry.openSession,
		isReady: () => !hostStop.hasBegun() && findConfiguration() !== undefined && listInstances().length > 0 && fleetController.isRegistered(),
		listPaces: () => groups.listGroups()
			.flatMap(group => group.listInstances())
			.map(({listed, pace}) => ({instance: listed().id, ...pace.readLoad()}))
			.filter(({isUsed}) => isUsed),
		peer: {
			readTables: tableSync.readTables,
			claimRates: rateLimiter.claimRates,
			fenceGroup: fleetController.fenceGroup,
			confirmSilence: fleetController.confirmSilence,
			runJob: gateway.runJob,
			ping: async () => true,
		},
		stop: hostStop.stop,
		end: hostStop.end,
	};
}
