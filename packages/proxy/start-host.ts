import {
	isSuspected, type Host, type HostEffect, type HostSettings, type HostState,
} from '@sapphirefall/decisions';
import {createSessionCodec} from '@sapphirefall/callers';
import {createEventLog, createHybridClock, type ProcessEvent} from '@sapphirefall/events';
import {createMetrics} from '@sapphirefall/operators';
import {createPlatformClient} from '@sapphirefall/platform';
import type {HostFile} from '@sapphirefall/settings';
import type {LoanRequest} from '@sapphirefall/hosts';
import {createBorrower} from './create-borrower.ts';
import {createHomeBuckets} from './create-home-buckets.ts';
import {createChangeBackend} from './create-change-backend.ts';
import {createExchanger} from './create-exchanger.ts';
import {createFailoverRunner} from './create-failover-runner.ts';
import {createGroupRuntime} from './create-group-runtime.ts';
import {createControlLoop} from './create-control-loop.ts';
import {createOperatorBackend} from './create-operator-backend.ts';
import {createPeers} from './create-peers.ts';
import {createRateLimiter} from './create-rate-limiter.ts';
import {createStandbyLoans} from './create-standby-loans.ts';
import {createRequestHandler} from './create-request-handler.ts';
import type {GroupRuntime} from './group-runtime.ts';
import type {HostLog} from './host-log.ts';
import type {RunningHost} from './running-host.ts';

type Options = {
	readonly settings: HostFile;
	readonly log: HostLog;
	readonly onEvent: (event: ProcessEvent) => void;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Returns the current wall-clock time in milliseconds. */
	readonly wallNow: () => number;
	/** Called when an operator asks the host to drain. */
	readonly onDrainRequested: () => void;
};

/**
 * Starts the control loop, the peer clients and the request handler of a host. The caller opens the listeners.
 *
 * @param options Settings, clocks, the log, and callbacks.
 */
export function startHost(options: Options): RunningHost {
	const {settings, log, now, wallNow} = options;
	const {id: self, zone} = settings.host;
	const incarnation = Math.trunc(wallNow());
	const owner = `${self}/${incarnation}`;
	const clock = createHybridClock(wallNow);
	const events = createEventLog(self, {clock, onEvent: options.onEvent});
	const metrics = createMetrics();
	const platform = createPlatformClient(settings.platform.address, settings.platform.timeout);
	const runtimes = new Map<string, GroupRuntime>();
	const lastRequestAt = new Map<string, number>();
	const findGroup = (database: string) => runtimes.get(database);

	const createRuntime = (database: string, view: Parameters<typeof createGroupRuntime>[0]) => createGroupRuntime(view, {
		settings: settings.endpoints,
		now,
		onReport(report, sentAt) {
			loop.dispatch({
				kind: 'reported', database, report, sentAt,
			});
		},
	});

	const applyState = (before: HostState, after: HostState) => {
		if (before.roster !== after.roster) {
			homeBuckets.followRoster(before.roster, after.roster);
		}

		if (before.groups === after.groups) {
			return;
		}

		for (const [database, {view}] of after.groups) {
			const runtime = runtimes.get(database);
			if (runtime === undefined) {
				runtimes.set(database, createRuntime(database, view));
			} else if (runtime.view() !== view) {
				runtime.update(view);
			}
		}
	};

	const readFleet = async () => {
		try {
			loop.dispatch({kind: 'fleetRead', ...await platform.listFleet()});
		} catch {
			log.debug('platform: Reading the list of hosts and databases failed.');
		}
	};

	const runEffect = (effect: HostEffect) => {
		switch (effect.kind) {
			case 'exchange': {
				void exchanger.exchange(effect.partner);
				break;
			}

			case 'readVersion': {
				void changes.readVersion();
				break;
			}

			case 'readFleet': {
				void readFleet();
				break;
			}

			case 'changeRoster': {
				void changes.changeRoster(effect.roster);
				break;
			}

			case 'probe': {
				runtimes.get(effect.database)?.probe();
				break;
			}

			case 'failover': {
				runFailover(effect.database, effect.effect);
				break;
			}

			case 'publishPrimary': {
				events.emit({kind: 'primary-known', database: effect.database, detail: `${effect.instance} in term ${effect.term}`});
				log.info(`endpoints: Database ${effect.database} has primary ${effect.instance} in term ${effect.term}.`);
				break;
			}

			case 'publishConfiguration': {
				metrics.configurationVersion.set(effect.version);
				events.emit({kind: 'configuration-in-force', detail: `version ${effect.version}`});
				log.info(`platform: Configuration version ${effect.version} is in force.`);
				break;
			}
		}
	};

	const loop = createControlLoop({
		host: createSelf(settings),
		incarnation,
		settings: createHostSettings(settings),
		now,
		onStep: applyState,
		onEffect: runEffect,
	});
	const {dispatch} = loop;
	const readState = loop.state;
	const findPeer = createPeers(readState, {
		...settings.endpoints, timeoutMs: settings.control.exchangeTimeout, clock, now,
	});
	const exchanger = createExchanger({
		self, readState, dispatch, findPeer, clock, maxTableAgeMs: settings.keys.wordSpan, now,
	});
	const changes = createChangeBackend({
		self, platform, readState, dispatch, findPeer, events, log, now,
	});
	const runFailover = createFailoverRunner({
		owner, readState, dispatch, findGroup, findPeer, events, metrics, log, now,
	});
	const homeBuckets = createHomeBuckets({
		self, settings: settings.rate, readState, findPeer, now,
	});
	const standbyLoans = createStandbyLoans({
		owner, settings: settings.rate, readState, findPeer, now,
	});
	const lend = (request: LoanRequest) => {
		const granted = homeBuckets.lend(request);
		return (granted?.units ?? 0) > 0 ? granted : standbyLoans.lend(request) ?? granted;
	};

	const borrower = createBorrower({
		self, owner, settings: settings.rate, readState, findPeer, lend, metrics, now,
	});
	const rateLimiter = createRateLimiter({
		self, settings: settings.rate, readState, borrower, now,
	});
	const requests = createRequestHandler({
		settings,
		readState,
		findGroup,
		onGroupRequested(database) {
			const at = now();
			if (at - (lastRequestAt.get(database) ?? -Infinity) > settings.control.probeInterval) {
				lastRequestAt.set(database, at);
				dispatch({kind: 'groupRequested', database});
			}
		},
		findPeer,
		rateLimiter,
		sessions: createSessionCodec(settings.secrets.session),
		events,
		metrics,
		now,
		wallNow,
	});
	const operators = createOperatorBackend({
		self,
		zone,
		readState,
		changes,
		events,
		metrics,
		countRunning: requests.countRunning,
		areRatesReady: homeBuckets.isReady,
		staleAfter: settings.keys.staleAfter,
		drain: options.onDrainRequested,
		now,
	});

	const timer = setInterval(() => {
		dispatch({kind: 'tick'});
	}, settings.control.tickInterval);
	events.emit({kind: 'process-started', detail: `zone ${zone}`});

	return {
		handle: requests.handle,
		exchange: exchanger.answer,
		execute: requests.executeForwarded,
		clock,
		now,
		lend,
		renewStandbyLoan: standbyLoans.renew,
		acceptHandover: homeBuckets.acceptHandover,
		handleForwardedChange: changes.handleForwardedChange,
		confirm(database, term) {
			const group = readState().groups.get(database);
			return group?.watch !== undefined && group.view.term <= term && isSuspected(group.view, {
				watchedSince: group.watch.since, settings: settings.failover, now: now(),
			});
		},
		operators,
		async drain() {
			events.emit({kind: 'process-draining'});
			log.info('host: The host is draining and refuses new requests.');
			dispatch({kind: 'drainStarted'});
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
