import {
	hashPrimaries, isSuspected, listLiveHosts, listNews, listPrimaries, resultCodes,
	type FailoverEffect, type Host, type HostEffect, type HostSettings, type HostState,
} from '@sapphirefall/decisions';
import {createSessionCodec} from '@sapphirefall/callers';
import {
	createEventLog, createHybridClock, formatEvent, type ProcessEvent,
} from '@sapphirefall/events';
import {createPeer, type ExchangeContent, type Peer} from '@sapphirefall/hosts';
import {createMetrics, type OperatorBackend} from '@sapphirefall/operators';
import {
	commitChange, createPlatformClient, parseConfiguration, readConfiguration,
} from '@sapphirefall/platform';
import type {HostFile} from '@sapphirefall/settings';
import {createGroupRuntime} from './create-group-runtime.ts';
import {createLoop} from './create-loop.ts';
import {createRequestHandler} from './create-request-handler.ts';
import {describeConfiguration} from './describe-configuration.ts';
import type {GroupRuntime} from './group-runtime.ts';
import type {HostLog} from './host-log.ts';
import type {RunningHost} from './running-host.ts';

type Options = {
	readonly settings: HostFile;
	readonly log: HostLog;
	readonly onEvent: (event: ProcessEvent) => void;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	/** Present wall-clock milliseconds. */
	readonly wallNow: () => number;
	/** Called when an operator asks the host to drain. */
	readonly onDrainAsked: () => void;
};

/**
 * Starts a host: its control loop, its peers and its request path. Listeners are the caller's to open.
 *
 * @param options Settings, clocks, and where logs and events go.
 */
export function startHost(options: Options): RunningHost {
	const {settings, log, now, wallNow} = options;
	const clock = createHybridClock(wallNow);
	const events = createEventLog(settings.host.id, {clock, onEvent: options.onEvent});
	const metrics = createMetrics();
	const platform = createPlatformClient(settings.platform.address, settings.platform.timeout);
	const runtimes = new Map<string, GroupRuntime>();
	const peers = new Map<string, {readonly address: string; readonly peer: Peer}>();
	const demandedAt = new Map<string, number>();
	const owner = `${settings.host.id}/${Math.trunc(wallNow())}`;

	const onStep = (before: HostState, after: HostState) => {
		if (before.groups === after.groups) {
			return;
		}

		for (const [database, {view}] of after.groups) {
			const runtime = runtimes.get(database);
			if (runtime === undefined) {
				runtimes.set(database, createGroupRuntime(view, {
					settings: settings.endpoints,
					now,
					onReport(report, sentAt) {
						loop.dispatch({
							kind: 'reported', database, report, sentAt,
						});
					},
				}));
			} else if (runtime.view() !== view) {
				runtime.update(view);
			}
		}
	};

	const findPeer = (id: string): Peer | undefined => {
		const host = loop.state().membership.hosts.get(id);
		if (host === undefined) {
			return undefined;
		}

		const known = peers.get(id);
		if (known?.address === host.address) {
			return known.peer;
		}

		const peer = createPeer(host.address, settings.control.exchangeTimeout);
		peers.set(id, {address: host.address, peer});
		return peer;
	};

	const createContent = (other: {readonly version: number; readonly digest: string} | undefined): ExchangeContent => {
		const state = loop.state();
		const primaries = listPrimaries(state);
		const digest = hashPrimaries(primaries);
		return {
			id: settings.host.id,
			incarnation: state.membership.incarnation,
			version: state.configuration.version,
			age: now() - state.provenAt,
			configuration: other !== undefined && other.version < state.configuration.version ? JSON.stringify(state.configuration) : '',
			digest,
			primaries: other !== undefined && other.digest !== digest ? primaries : [],
			news: listNews(state.membership, now()),
			time: clock.tick(),
		};
	};

	const takeContent = (content: ExchangeContent, provenAt: number) => {
		clock.observe(content.time);
		loop.dispatch({
			kind: 'exchanged',
			id: content.id,
			incarnation: content.incarnation,
			version: content.version,
			configuration: content.configuration === '' ? undefined : parseConfiguration(content.configuration),
			provenAt,
			primaries: content.primaries,
			news: content.news,
		});
	};

	const exchange = async (id: string) => {
		const peer = findPeer(id);
		const sentAt = now();
		try {
			const content = await peer?.exchange(createContent(undefined));
			if (content === undefined) {
				return;
			}

			takeContent(content, sentAt - content.age);
			const state = loop.state();
			if (content.version < state.configuration.version || content.digest !== hashPrimaries(listPrimaries(state))) {
				await peer?.exchange(createContent(content));
			}
		} catch {
			loop.dispatch({kind: 'exchangeFailed', id});
		}
	};

	const readVersion = async () => {
		const provenAt = now();
		try {
			const configuration = await readConfiguration(platform, loop.state().configuration);
			loop.dispatch({kind: 'configurationRead', configuration, provenAt});
		} catch {
			log.debug('platform: The configuration could not be read.');
		}
	};

	const readFleet = async () => {
		try {
			loop.dispatch({kind: 'fleetRead', ...await platform.listFleet()});
		} catch {
			log.debug('platform: The list of hosts and databases could not be read.');
		}
	};

	const runFailoverEffect = async (database: string, effect: FailoverEffect) => {
		const runtime = runtimes.get(database);
		switch (effect.kind) {
			case 'tell': {
				metrics.failovers.inc({step: effect.step});
				events.emit({kind: 'failover-step', database, detail: effect.step});
				log.info(`failover: Database ${database}: ${effect.step}.`);
				break;
			}

			case 'askConfirmation': {
				askConfirmation(database, effect.term);
				break;
			}

			case 'fence': {
				const answer = await runtime?.findCommander(effect.instance)?.fence(effect.term, owner);
				if (answer !== undefined) {
					loop.dispatch({
						kind: 'failover', database, event: {kind: 'fenceAnswered', term: effect.term, ...answer},
					});
				}

				break;
			}

			case 'promote': {
				const sentAt = now();
				const answer = await runtime?.findCommander(effect.instance)?.promote(effect.term, owner);
				if (answer !== undefined) {
					loop.dispatch({
						kind: 'reported', database, report: answer.report, sentAt,
					});
					loop.dispatch({
						kind: 'failover', database, event: {kind: 'promoteAnswered', term: effect.term, isGranted: answer.isGranted},
					});
				}

				break;
			}

			case 'follow': {
				const primary = runtime?.view().group.instances.find(({id}) => id === effect.primary);
				if (primary !== undefined) {
					await runtime?.findCommander(effect.instance)?.follow(effect.term, primary);
				}

				break;
			}
		}
	};

	const askConfirmation = (database: string, term: number) => {
		const {groups, membership} = loop.state();
		for (const id of groups.get(database)?.watch?.others ?? []) {
			const zone = membership.hosts.get(id)?.zone ?? '';
			void (async () => {
				try {
					if (await findPeer(id)?.confirm(database, term)) {
						loop.dispatch({kind: 'failover', database, event: {kind: 'confirmed', zone}});
					}
				} catch {
					log.debug(`hosts: Host ${id} did not confirm.`);
				}
			})();
		}
	};

	const tryFailoverEffect = async (database: string, effect: FailoverEffect) => {
		try {
			await runFailoverEffect(database, effect);
		} catch {
			log.warn(`failover: Database ${database}: the command to ${effect.kind} got no answer.`);
		}
	};

	const onEffect = (effect: HostEffect) => {
		switch (effect.kind) {
			case 'exchange': {
				void exchange(effect.partner);
				break;
			}

			case 'readVersion': {
				void readVersion();
				break;
			}

			case 'readFleet': {
				void readFleet();
				break;
			}

			case 'probe': {
				runtimes.get(effect.database)?.probe();
				break;
			}

			case 'failover': {
				void tryFailoverEffect(effect.database, effect.effect);
				break;
			}

			case 'tellPrimary': {
				events.emit({kind: 'primary-known', database: effect.database, detail: `${effect.instance} in term ${effect.term}`});
				log.info(`endpoints: Database ${effect.database} has primary ${effect.instance} in term ${effect.term}.`);
				break;
			}

			case 'tellConfiguration': {
				metrics.configurationVersion.set(effect.version);
				events.emit({kind: 'configuration-in-force', detail: `version ${effect.version}`});
				log.info(`platform: Configuration version ${effect.version} is in force.`);
				break;
			}
		}
	};

	const loop = createLoop({
		host: createSelf(settings),
		incarnation: Math.trunc(wallNow()),
		settings: createHostSettings(settings),
		now,
		onStep,
		onEffect,
	});

	const requests = createRequestHandler({
		settings,
		state: loop.state,
		findGroup: database => runtimes.get(database),
		demand(database) {
			const at = now();
			if (at - (demandedAt.get(database) ?? -Infinity) > settings.control.probeInterval) {
				demandedAt.set(database, at);
				loop.dispatch({kind: 'demanded', database});
			}
		},
		sessions: createSessionCodec(settings.secrets.session),
		events,
		metrics,
		now,
		wallNow,
	});

	const operators: OperatorBackend = {
		async change(change, requested) {
			const provenAt = now();
			const outcome = await commitChange(platform, {change, ...requested});
			if (outcome.kind === 'refused') {
				events.emit({kind: 'change-refused', detail: `code ${outcome.code}`});
				return outcome;
			}

			loop.dispatch({kind: 'configurationRead', configuration: outcome.configuration, provenAt});
			events.emit({kind: 'change-committed', detail: `version ${outcome.configuration.version}`});
			return {code: resultCodes.done, version: outcome.configuration.version};
		},
		readStatus() {
			const state = loop.state();
			const live = new Set(listLiveHosts(state.membership).map(({id}) => id));
			return {
				host: settings.host.id,
				zone: settings.host.zone,
				configVersion: state.configuration.version,
				configAgeMs: Math.min(Math.ceil(now() - state.provenAt), 0xFF_FF_FF_FF),
				groups: [...state.groups.values()].map(({view}) => ({
					database: view.group.database,
					term: view.term,
					primary: view.primary ?? '',
					instances: [...view.instances.values()]
						.map(({report}) => `${report.instance} ${report.role} ${report.at.term}/${report.at.position}`),
				})),
				hosts: [...state.membership.hosts.values()].map(host => ({
					id: host.id,
					zone: host.zone,
					alive: live.has(host.id),
					configVersion: host.id === settings.host.id ? state.configuration.version : state.versions.get(host.id) ?? 0,
				})),
				draining: state.isDraining,
				running: requests.countRunning(),
				configuration: describeConfiguration(state.configuration),
			};
		},
		drain: options.onDrainAsked,
		formatEvents: () => events.list().map(event => `${formatEvent(event)}\n`).join(''),
		isReady: () => !loop.state().isDraining && now() - loop.state().provenAt <= settings.keys.staleAfter,
		readMetrics: async () => metrics.registry.metrics(),
	};

	const timer = setInterval(() => {
		loop.dispatch({kind: 'tick'});
	}, settings.control.tickInterval);
	events.emit({kind: 'process-started', detail: `zone ${settings.host.zone}`});

	return {
		handle: requests.handle,
		exchange(content) {
			takeContent(content, -Infinity);
			return createContent(content);
		},
		confirm(database, term) {
			const group = loop.state().groups.get(database);
			return group?.watch !== undefined && group.view.term <= term && isSuspected(group.view, {
				watchedSince: group.watch.since, settings: settings.failover, now: now(),
			});
		},
		operators,
		state: loop.state,
		async drain() {
			events.emit({kind: 'process-draining'});
			log.info('host: The host takes no more requests.');
			loop.dispatch({kind: 'drained'});
			await requests.waitForIdle();
		},
		stop() {
			clearInterval(timer);
			for (const runtime of runtimes.values()) {
				runtime.close();
			}

			events.emit({kind: 'process-stopped'});
			log.info('host: The host has stopped.');
		},
	};
}

function createSelf(settings: HostFile): Host {
	return {
		id: settings.host.id, zone: settings.host.zone, address: `http://${settings.listen.hosts}`, isDeparting: false,
	};
}

function createHostSettings(settings: HostFile): HostSettings {
	return {
		failover: settings.failover,
		probeInterval: settings.control.probeInterval,
		demandSpan: settings.control.demandSpan,
		exchangeInterval: settings.control.exchangeInterval,
		versionInterval: settings.platform.versionInterval,
		versionFallback: settings.platform.versionFallback,
		fleetInterval: settings.platform.fleetInterval,
	};
}
