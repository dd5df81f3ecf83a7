import {setTimeout as sleep} from 'node:timers/promises';
import {startCloud} from './cloud.mjs';
import {createConfiguration} from './configuration.mjs';
import {startGroup} from './group.mjs';
import {startHosts} from './hosts.mjs';
import {startStore} from './store.mjs';

const zones = ['upland-barn', 'valley-hall', 'chalk-shed'];
const hostsPerZone = 2;

/** Sizes of the site ghdpc-pondbook: connections and slots of an instance, replication lag, time of a promotion. */
const sizes = {
	maxConnections: 34, slots: 5, lagMs: 20, promoteMs: 1000,
};

/** Milliseconds from when all hosts are ready until rates and primaries are settled. */
const settleMs = 4000;

/** Tenants with one key each. */
export const tenants = ['t1', 't2', 't3', 't4'].map(name => ({name, keys: [`key-${name}`]}));

/** Returns the key of a client. */
export const findKey = client => tenants[client % tenants.length].keys[0];

/**
 * Starts a small deployment: the platform's stand-ins, a group of three instances for each service, and two hosts in each
 * of three zones.
 *
 * @param options.run What `runCase` gives to the case.
 * @param options.routes Routes of the first configuration.
 * @param options.workMs Milliseconds that a statement takes at an instance.
 * @param options.observe Functions that are called with what instances, the platform and hosts do.
 */
export async function startDeployment({
	run: {record, onEnd}, services, routes, workMs, observe = {},
}) {
	const store = await startStore();
	onEnd(store.close);
	const groups = [];
	for (const service of services) {
		const group = await startGroup({ // eslint-disable-line no-await-in-loop -- started in order
			service, zones, store, workMs, ...sizes, ...observe,
		});
		groups.push(group);
		onEnd(group.close);
	}

	const cloud = await startCloud({
		groups,
		onCall(call) {
			record(`platform: ${call.holder} sends promote ${call.service} ${call.id} with token ${call.token}: ${call.status}`);
			observe.onPromote?.(call);
		},
	});
	onEnd(cloud.close);
	let version = 0;
	/** Writes the next version of the configuration. */
	const configure = newRoutes => {
		version += 4;
		store.put('op', 'config', createConfiguration({
			version, services, tenants, maxConnections: sizes.maxConnections, routes: newRoutes,
		}));
		record(`operator: version ${version} is acknowledged: ${newRoutes.map(({database, service}) => `${database} is served by ${service}`).join(', ')}`);
	};

	configure(routes);
	const fleet = await startHosts({
		names: zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => ({name: `front-${zone}-${index + 1}`, zone}))),
		storePort: store.port,
		cloudPort: cloud.port,
		onEnded: observe.onEnded,
	});
	onEnd(fleet.stop);
	await fleet.waitUntilReady();
	await sleep(settleMs);
	record('platform: all hosts are ready');
	return {
		store, groups, cloud, fleet, configure,
	};
}
