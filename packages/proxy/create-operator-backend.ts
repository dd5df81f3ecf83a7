import {findConfirmedAt, listLiveHosts, type HostState} from '@sapphirefall/decisions';
import {formatEvent, type EventLog} from '@sapphirefall/events';
import type {Metrics, OperatorBackend} from '@sapphirefall/operators';
import type {ChangeBackend} from './change-backend.ts';
import {describeConfiguration} from './describe-configuration.ts';

type Options = {
	readonly self: string;
	readonly zone: string;
	readonly readState: () => HostState;
	readonly changes: ChangeBackend;
	readonly events: EventLog;
	readonly metrics: Metrics;
	/** Counts the requests that are in progress. */
	readonly countRunning: () => number;
	/** Whether this host may lend units of the workspaces whose home host it is. */
	readonly areRatesReady: () => boolean;
	/** Greatest age in milliseconds of the configuration's last confirmation at which keyed requests are admitted. */
	readonly staleAfter: number;
	/** Starts draining this host at an operator's request. */
	readonly drain: () => void;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** Greatest value of the status field, a 32-bit unsigned integer. */
const maxAgeMs = 0xFF_FF_FF_FF;

/** Creates the backend that carries out operators' requests on this host. */
export function createOperatorBackend(options: Options): OperatorBackend {
	const findConfigurationAge = () => options.now() - findConfirmedAt(options.readState());
	return {
		change: options.changes.change,
		readStatus() {
			const state = options.readState();
			const live = new Set(listLiveHosts(state.membership).map(({id}) => id));
			return {
				host: options.self,
				zone: options.zone,
				configVersion: state.configuration.version,
				configAgeMs: Math.min(Math.ceil(findConfigurationAge()), maxAgeMs),
				groups: [...state.groups.values()].map(({view}) => ({
					database: view.group.database,
					term: view.term,
					primary: view.primary ?? '',
					instances: [...view.instances.values()]
						.map(({report}) => `${report.instance} ${report.role} ${report.point.term}/${report.point.position}`),
				})),
				hosts: [...state.membership.hosts.values()].map(host => ({
					id: host.id,
					zone: host.zone,
					alive: live.has(host.id),
					configVersion: host.id === options.self ? state.configuration.version : state.peerVersions.get(host.id) ?? 0,
				})),
				roster: [...state.roster.homes],
				acceptors: [...state.roster.acceptors],
				ratesReady: options.areRatesReady(),
				draining: state.isDraining,
				running: options.countRunning(),
				configuration: describeConfiguration(state.configuration),
			};
		},
		drain: options.drain,
		formatEvents: () => options.events.list().map(event => `${formatEvent(event)}\n`).join(''),
		isReady: () => !options.readState().isDraining && findConfigurationAge() <= options.staleAfter,
		readMetrics: async () => options.metrics.registry.metrics(),
	};
}
