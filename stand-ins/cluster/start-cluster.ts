import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createClient, type Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {stringify} from 'yaml';
import {
	CallerService, createTokenInterceptor, EndpointFaultService, OperatorService, PlatformFaultService,
} from '@sapphirefall/wire';
import {createLink} from '../links/create-link.ts';
import type {Link} from '../links/link.ts';
import {createHostSettings} from './create-host-settings.ts';
import {createInstanceSettings} from './create-instance-settings.ts';
import {createRandom} from './create-random.ts';
import {findFreePort} from './find-free-port.ts';
import {openCallerStream} from './open-caller-stream.ts';
import {startChild} from './start-child.ts';
import type {Child} from './child.ts';
import type {ClusterNode} from './cluster-node.ts';
import type {ClusterPlan} from './cluster-plan.ts';
import type {Cluster} from './cluster.ts';
import type {HostPorts} from './host-ports.ts';

const operatorToken = 'operator-token-of-the-stand-in';
const endpointScript = path.join(import.meta.dirname, '../endpoint/main.ts');
const platformScript = path.join(import.meta.dirname, '../platform/main.ts');
const daemonScript = path.join(import.meta.dirname, '../../daemons/main.ts');

/** Starts a cluster of processes on this machine, on free ports, and waits until all hosts serve requests. */
export async function startCluster(plan: ClusterPlan): Promise<Cluster> {
	const directory = mkdtempSync(path.join(tmpdir(), 'sapphirefall-'));
	const random = createRandom(plan.seed);
	const nodes = await createNodes(plan);
	const platformPorts = new Map(await Promise.all(plan.zones.map(async zone => [zone, await findFreePort()] as const)));
	const links = new Map<string, Link>();
	const hostPorts = new Map<string, HostPorts>();
	const children = new Map<string, {readonly script: string; readonly arguments_: readonly string[]; child: Child}>();

	for (const from of plan.zones) {
		for (const node of nodes) {
			const isSameZone = node.zone === from;
			const fault = {
				delayMs: isSameZone ? 0 : plan.zoneDelay, jitterMs: isSameZone ? 0 : plan.zoneJitter, lossRate: isSameZone ? 0 : plan.zoneLoss, isPartitioned: false,
			};
			// eslint-disable-next-line no-await-in-loop -- opens one link at a time
			links.set(`${from}>${node.id}`, await createLink(node.port, {fault, random}));
		}

		// eslint-disable-next-line no-await-in-loop -- opens one link at a time
		links.set(`${from}>platform`, await createLink(platformPorts.get(from) ?? 0, {
			fault: {
				delayMs: 0, jitterMs: 0, lossRate: 0, isPartitioned: false,
			}, random,
		}));
	}

	const findAddress = (from: string, id: string) => `http://127.0.0.1:${links.get(`${from}>${id}`)?.port}`;

	const start = (id: string, script: string, arguments_: readonly string[]) => {
		children.set(id, {script, arguments_, child: startChild(script, arguments_)});
	};

	const writeSettings = (id: string, settings: unknown): string => {
		const file = path.join(directory, `${id}.yaml`);
		writeFileSync(file, stringify(settings));
		return file;
	};

	const createFleetList = (from: string) => ({
		hosts: nodes.filter(({kind}) => kind === 'host').map(({id, zone}) => ({id, zone, address: findAddress(from, id)})),
		groups: plan.databases.map(database => ({
			database,
			instances: nodes
				.filter(node => node.kind === 'instance' && node.database === database)
				.map(({id, zone}) => ({id, zone, address: findAddress(from, id)})),
		})),
	});

	start('platform', platformScript, [writeSettings('platform', {
		views: plan.zones.map(zone => ({port: platformPorts.get(zone), fleet: createFleetList(zone)})),
	})]);

	for (const node of nodes.filter(({kind}) => kind === 'instance')) {
		const group = nodes.filter(({kind, database}) => kind === 'instance' && database === node.database);
		start(node.id, endpointScript, [writeSettings(node.id, {
			...createInstanceSettings(node, {group, directory, findAddress}), ...plan.endpoint,
		})]);
	}

	for (const node of nodes.filter(({kind}) => kind === 'host')) {
		const [callers, streams, operators] = await Promise.all([findFreePort(), findFreePort(), findFreePort()]); // eslint-disable-line no-await-in-loop
		hostPorts.set(node.id, {callers, streams, operators});
		start(node.id, daemonScript, ['serve', writeSettings(node.id, {
			...createHostSettings(node, {
				ports: {callers, streams, operators}, platform: findAddress(node.zone, 'platform'), operatorToken,
			}),
			...plan.host,
		})]);
	}

	const findChild = (id: string) => {
		const found = children.get(id);
		if (found === undefined) {
			throw new Error(`Cluster has no process "${id}"`);
		}

		return found;
	};

	const findLink = (from: string, id: string) => {
		const link = links.get(`${from}>${id}`);
		if (link === undefined) {
			throw new Error(`Cluster has no link from zone "${from}" to "${id}"`);
		}

		return link;
	};

	const callerUrl = (host: string) => `http://127.0.0.1:${hostPorts.get(host)?.callers}`;
	const operatorUrl = (host: string) => `http://127.0.0.1:${hostPorts.get(host)?.operators}`;
	const instanceUrl = (instance: string) => `http://127.0.0.1:${nodes.find(({id}) => id === instance)?.port}`;
	const cluster: Cluster = {
		hosts: nodes.filter(({kind}) => kind === 'host').map(({id}) => id),
		instances: nodes.filter(({kind}) => kind === 'instance').map(({id}) => id),
		caller: (host, key) => createClient(CallerService, createTransport(callerUrl(host), key)),
		operator: host => createClient(OperatorService, createTransport(operatorUrl(host), operatorToken)),
		endpoint: instance => createClient(EndpointFaultService, createConnectTransport({
			baseUrl: instanceUrl(instance), httpVersion: '2',
		})),
		platform: createClient(PlatformFaultService, createConnectTransport({
			baseUrl: `http://127.0.0.1:${[...platformPorts.values()][0]}`, httpVersion: '2',
		})),
		openStream: (host, key) => openCallerStream(`http://127.0.0.1:${hostPorts.get(host)?.streams}`, key),
		callerUrl,
		operatorUrl,
		instanceUrl,
		operatorToken,
		child: id => findChild(id).child,
		restart(id) {
			const found = findChild(id);
			found.child = startChild(found.script, found.arguments_);
		},
		setFault(from, id, fault) {
			findLink(from, id).setFault(fault);
		},
		setZonePartitioned(zone, isPartitioned) {
			for (const node of nodes) {
				for (const from of plan.zones.filter(other => (other === zone) !== (node.zone === zone))) {
					findLink(from, node.id).setFault({isPartitioned});
				}
			}
		},
		resetLink(from, id) {
			findLink(from, id).reset();
		},
		muteLink(from, id) {
			findLink(from, id).mute();
		},
		findZone: id => nodes.find(node => node.id === id)?.zone ?? '',
		async stop() {
			// No state outlives the cluster, so all processes are killed without a graceful shutdown.
			await Promise.all([...children.values()].map(async ({child}) => {
				child.signal('SIGKILL');
				await child.exited;
			}));
			for (const link of links.values()) {
				link.close();
			}

			rmSync(directory, {recursive: true, force: true});
		},
	};
	await waitUntilServing(cluster);
	return cluster;
}

async function createNodes(plan: ClusterPlan): Promise<readonly ClusterNode[]> {
	const hosts = plan.zones.flatMap(zone => Array.from({length: plan.hostsPerZone}, (_, index) => ({
		id: `host-${zone}${index + 1}`, zone, kind: 'host' as const, database: '',
	})));
	const instances = plan.databases.flatMap(database => plan.zones.map(zone => ({
		id: `${database}-${zone}`, zone, kind: 'instance' as const, database,
	})));
	return Promise.all([...hosts, ...instances].map(async node => ({...node, port: await findFreePort()})));
}

function createTransport(baseUrl: string, token: string): Transport {
	return createConnectTransport({baseUrl, httpVersion: '1.1', interceptors: [createTokenInterceptor(token)]});
}

/** Time limit for the processes of a cluster to start; start-up is checked nowhere, so a busy machine may take its time. */
const startTimeoutMs = 60_000;

/** Largest age of the configuration at which a host counts as started, in milliseconds. */
const maxConfigAgeMs = 15_000;

/** Waits until every host knows the configuration, all hosts and the primary of each group, and has its rate allocation. */
async function waitUntilServing(cluster: Cluster): Promise<void> {
	const deadline = Date.now() + startTimeoutMs;
	const pendingHosts = new Set(cluster.hosts);
	while (pendingHosts.size > 0) {
		for (const host of pendingHosts) {
			try {
				const status = await cluster.operator(host).status({}); // eslint-disable-line no-await-in-loop
				const isServing = status.configAgeMs < maxConfigAgeMs && status.groups.length > 0
					&& status.groups.every(({primary}) => primary !== '') && status.hosts.length === cluster.hosts.length && status.roster.length === cluster.hosts.length && status.ratesReady;
				if (isServing) {
					pendingHosts.delete(host);
				}
			} catch {
				// The host is not listening yet.
			}
		}

		if (pendingHosts.size > 0 && Date.now() > deadline) {
			const [host = ''] = pendingHosts;
			throw new Error(`Host "${host}" did not start in time: ${cluster.child(host).readErrors()}`);
		}

		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 30);
		});
	}
}
