import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createClient, type Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {stringify} from 'yaml';
import {
	CallerService, EndpointFaultService, OperatorService, PlatformFaultService,
} from '@sapphirefall/wire';
import {createLink} from '../links/create-link.ts';
import type {Link} from '../links/link.ts';
import {createRandom} from './create-random.ts';
import {createTokenInterceptor} from './create-token-interceptor.ts';
import {findFreePort} from './find-free-port.ts';
import {openCallerStream} from './open-caller-stream.ts';
import {startChild} from './start-child.ts';
import type {Child} from './child.ts';
import type {ClusterPlan} from './cluster-plan.ts';
import type {Cluster} from './cluster.ts';

/** One process of the cluster before it starts. */
type Node = {
	readonly id: string;
	readonly zone: string;
	readonly kind: 'host' | 'instance';
	readonly database: string;
	/** Port at which hosts and instances reach it. */
	readonly port: number;
};

const operatorToken = 'operator-token-of-the-stand-in';
const sessionSecret = 'a secret of the stand-in fleet, 32 characters or more';
const endpointScript = path.join(import.meta.dirname, '../endpoint/main.ts');
const platformScript = path.join(import.meta.dirname, '../platform/main.ts');
const daemonScript = path.join(import.meta.dirname, '../../daemons/main.ts');

/** Milliseconds that a process may take to end before it is killed. */
const endTimeout = 3000;

/** Starts a cluster of processes on this machine. Ports are free ones. */
export async function startCluster(plan: ClusterPlan): Promise<Cluster> {
	const directory = mkdtempSync(path.join(tmpdir(), 'sapphirefall-'));
	const random = createRandom(plan.seed);
	const nodes = await createNodes(plan);
	const platformPorts = new Map(await Promise.all(plan.zones.map(async zone => [zone, await findFreePort()] as const)));
	const links = new Map<string, Link>();
	const callerPorts = new Map<string, number>();
	const streamPorts = new Map<string, number>();
	const operatorPorts = new Map<string, number>();
	const children = new Map<string, {readonly script: string; readonly arguments_: readonly string[]; child: Child}>();

	for (const from of plan.zones) {
		for (const node of nodes) {
			const isNear = node.zone === from;
			const fault = {
				delay: isNear ? 0 : plan.zoneDelay, jitter: isNear ? 0 : plan.zoneJitter, loss: isNear ? 0 : plan.zoneLoss, isCut: false,
			};
			// eslint-disable-next-line no-await-in-loop -- one port after the other
			links.set(`${from}>${node.id}`, await createLink(node.port, {fault, random}));
		}

		// eslint-disable-next-line no-await-in-loop -- one port after the other
		links.set(`${from}>platform`, await createLink(platformPorts.get(from) ?? 0, {
			fault: {
				delay: 0, jitter: 0, loss: 0, isCut: false,
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

	const createFleet = (from: string) => ({
		hosts: nodes.filter(({kind}) => kind === 'host').map(({id, zone}) => ({id, zone, address: findAddress(from, id)})),
		groups: plan.databases.map(database => ({
			database,
			instances: nodes
				.filter(node => node.kind === 'instance' && node.database === database)
				.map(({id, zone}) => ({id, zone, address: findAddress(from, id)})),
		})),
	});

	start('platform', platformScript, [writeSettings('platform', {
		views: plan.zones.map(zone => ({port: platformPorts.get(zone), fleet: createFleet(zone)})),
	})]);

	for (const node of nodes.filter(({kind}) => kind === 'instance')) {
		const group = nodes.filter(({kind, database}) => kind === 'instance' && database === node.database);
		const [first] = group;
		const settings = {
			id: node.id,
			port: node.port,
			journalFile: path.join(directory, `${node.id}.journal`),
			routes: Object.fromEntries(group.map(({id}) => [id, findAddress(node.zone, id)])),
			...(first === node ? {} : {primary: findAddress(node.zone, first?.id ?? '')}),
			...plan.endpoint,
		};
		start(node.id, endpointScript, [writeSettings(node.id, settings)]);
	}

	for (const node of nodes.filter(({kind}) => kind === 'host')) {
		const [callers, streams, operators] = await Promise.all([findFreePort(), findFreePort(), findFreePort()]); // eslint-disable-line no-await-in-loop
		callerPorts.set(node.id, callers);
		streamPorts.set(node.id, streams);
		operatorPorts.set(node.id, operators);
		start(node.id, daemonScript, ['serve', writeSettings(node.id, {
			host: {id: node.id, zone: node.zone},
			listen: {
				callers: `127.0.0.1:${callers}`, streams: `127.0.0.1:${streams}`, hosts: `127.0.0.1:${node.port}`, operators: `127.0.0.1:${operators}`,
			},
			platform: {address: findAddress(node.zone, 'platform')},
			secrets: {session: sessionSecret, operatorDigest: createHash('sha256').update(operatorToken).digest('hex')},
			...plan.host,
		})]);
	}

	const findChild = (id: string) => {
		const found = children.get(id);
		if (found === undefined) {
			throw new Error(`The cluster has no process "${id}"`);
		}

		return found;
	};

	const findLink = (from: string, id: string) => {
		const link = links.get(`${from}>${id}`);
		if (link === undefined) {
			throw new Error(`The cluster has no link from zone "${from}" to "${id}"`);
		}

		return link;
	};

	const callerUrl = (host: string) => `http://127.0.0.1:${callerPorts.get(host)}`;
	const operatorUrl = (host: string) => `http://127.0.0.1:${operatorPorts.get(host)}`;
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
		openStream: (host, key) => openCallerStream(`http://127.0.0.1:${streamPorts.get(host)}`, key),
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
		resetLink(from, id) {
			findLink(from, id).reset();
		},
		muteLink(from, id) {
			findLink(from, id).mute();
		},
		zoneOf: id => nodes.find(node => node.id === id)?.zone ?? '',
		async stop() {
			await Promise.all([...children.values()].map(async ({child}) => endChild(child)));
			for (const link of links.values()) {
				link.close();
			}

			rmSync(directory, {recursive: true, force: true});
		},
	};
	await waitUntilServing(cluster);
	return cluster;
}

async function createNodes(plan: ClusterPlan): Promise<readonly Node[]> {
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

async function endChild(child: Child): Promise<void> {
	child.signal('SIGCONT');
	child.signal('SIGTERM');
	const timer = setTimeout(() => {
		child.signal('SIGKILL');
	}, endTimeout);
	await child.ended;
	clearTimeout(timer);
}

/** Milliseconds for a cluster to start. */
const startTimeout = 15_000;

/** Waits until every host knows every group's primary and the configuration. */
async function waitUntilServing(cluster: Cluster): Promise<void> {
	const deadline = Date.now() + startTimeout;
	const waiting = new Set(cluster.hosts);
	while (waiting.size > 0) {
		for (const host of waiting) {
			try {
				const status = await cluster.operator(host).status({}); // eslint-disable-line no-await-in-loop
				const isServing = status.configAgeMs < startTimeout && status.groups.length > 0
					&& status.groups.every(({primary}) => primary !== '') && status.hosts.length === cluster.hosts.length && status.roster.length === cluster.hosts.length && status.ratesReady;
				if (isServing) {
					waiting.delete(host);
				}
			} catch {
				// The host does not listen yet.
			}
		}

		if (waiting.size > 0 && Date.now() > deadline) {
			const [host = ''] = waiting;
			throw new Error(`Host "${host}" did not start: ${cluster.child(host).readErrors()}`);
		}

		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 30);
		});
	}
}
