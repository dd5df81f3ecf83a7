/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
/* eslint-disable no-await-in-loop -- steps run in sequence */
import {createServer as createHttpServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLink} from '../links/create-link.ts';
import {usualLinkFault} from '../links/usual-link-fault.ts';
import {createWireConfiguration} from './create-wire-configuration.ts';
import type {HostLinks} from './host-links.ts';
import type {InstanceGroup} from './instance-group.ts';
import {isReady} from './is-ready.ts';
import {startInstanceGroup} from './start-instance-group.ts';
import {startStoreStandIn} from './start-store-stand-in.ts';
import {startWireHost} from './start-wire-host.ts';
import type {WireDeployment} from './wire-deployment.ts';
import type {WireHostOptions} from './wire-host-options.ts';

type Options = Omit<WireHostOptions, 'zone' | 'storePort' | 'cloudPort'> & {
	readonly hostCount: number;
	/** Groups of three instances. Defaults to 1. */
	readonly groupCount?: number;
	/** Replication lag in milliseconds. */
	readonly lag: number;
	/** Milliseconds that a statement takes at an instance. Defaults to 0. */
	readonly workMs?: number;
	/** Milliseconds for which an instance that started again lists itself as cold. Defaults to 0. */
	readonly warmupMs?: number;
	/** Connections that an instance accepts. Defaults to 34. */
	readonly connectionLimit?: number;
	/** Operations a second of each workspace, and its burst. Defaults to 200. */
	readonly ratePerSecond?: number;
	/** Whether the groups' commits are acknowledged only once a replica has received them. Defaults to false. */
	readonly isSynchronous?: boolean;
	/** Further fields of each group's service in the configuration. */
	readonly serviceFields?: object;
	/** Further fields of the routes in the configuration, by database. */
	readonly routeFields?: Readonly<Record<string, object>>;
	/** Whether the hosts reach each instance, the store and the cloud API through relays, which can be disturbed. Defaults to false. */
	readonly hasLinks?: boolean;
};

const zones = ['a', 'b', 'c'];

/** Milliseconds between accepting a promotion and its effect, unless a test changes them. */
const usualPromotionDelayMs = 100;

/** Starts host processes, with a simulated store, cloud API and groups of three instances. */
export async function startWireDeployment({
	hostCount, groupCount = 1, lag, workMs = 0, warmupMs = 0, connectionLimit = 34, ratePerSecond = 200, isSynchronous = false, serviceFields = {}, routeFields = {}, hasLinks = false, ...hostOptions
}: Options): Promise<WireDeployment> {
	const store = await startStoreStandIn();
	const groups: InstanceGroup[] = [];
	for (let index = 0; index < groupCount; index++) {
		const number = index === 0 ? '' : String(index + 1);
		groups.push(await startInstanceGroup({
			name: `pondbook${number}`, zones, idPrefix: `i${number}-`, lag, workMs, warmupMs, isSynchronous, store, hasLinks,
		}));
	}

	const promotions: Array<{readonly id: string; readonly token: number}> = [];
	let promotionDelayMs = usualPromotionDelayMs;
	const cloudApi = createHttpServer((request, response) => {
		const answer = async () => {
			const {id} = JSON.parse(await text(request)) as {readonly id: string};
			const group = groups.find(({mayPromote}) => mayPromote(id));
			if (group === undefined) {
				response.writeHead(409).end('{}');
				return;
			}

			promotions.push({id, token: Number(request.headers['x-fencing-token'])});
			response.writeHead(200).end('{}');
			setTimeout(group.promote, promotionDelayMs, id);
		};

		void answer();
	});
	await new Promise<void>(resolve => {
		cloudApi.listen(0, '127.0.0.1', resolve);
	});
	let version = 0;
	const configure: WireDeployment['configure'] = ({keys, hasGuestRoute = false}) => {
		version += 3;
		store.put('op', 'config', createWireConfiguration({
			version, keys, hasGuestRoute, connectionLimit, serviceFields: {...isSynchronous && {sync_replicas: 1}, ...serviceFields}, ratePerSecond, routeFields, groups: groups.map(({name}) => name),
		}));
	};

	configure({keys: ['good', 'other']});
	const storePort = store.address().port;
	const cloudPort = (cloudApi.address() as AddressInfo).port;
	const hostLinks: HostLinks[] = [];
	const linkedCount = hasLinks ? hostCount : 0;
	for (let index = 0; index < linkedCount; index++) {
		hostLinks.push({
			store: await createLink(storePort, {fault: usualLinkFault, random: Math.random}),
			cloudApi: await createLink(cloudPort, {fault: usualLinkFault, random: Math.random}),
		});
	}

	const findZone = (index: number) => zones[index % zones.length] ?? '';
	const start = async (index: number) => startWireHost(`host-${index + 1}`, {
		...hostOptions, zone: findZone(index), storePort: hostLinks[index]?.store.port ?? storePort, cloudPort: hostLinks[index]?.cloudApi.port ?? cloudPort,
	});
	const hosts = await Promise.all(Array.from({length: hostCount}, async (_, index) => start(index)));
	const waitUntilReady = async ({name, process: child, readyPort}: WireDeployment['hosts'][number]) => {
		while (!await isReady(readyPort)) {
			if (child.exitCode !== null) {
				throw new Error(`Host "${name}" ended with exit code ${child.exitCode} before it was ready`);
			}

			await sleep(100);
		}
	};

	return {
		store,
		groups,
		instances: groups[0]?.instances ?? [],
		hosts,
		findZone,
		hostLinks,
		promotions: () => promotions,
		setPromotionDelay(delay) {
			promotionDelayMs = delay;
		},
		async waitUntilReady() {
			await Promise.all(hosts.map(async host => waitUntilReady(host)));
		},
		async restart(index) {
			hosts[index]?.process.kill('SIGKILL');
			const host = await start(index);
			hosts[index] = host;
			await waitUntilReady(host);
		},
		configure,
		drain(instance) {
			groups[0]?.drain(instance);
		},
		stop() {
			for (const host of hosts) {
				host.process.kill('SIGKILL');
			}

			for (const link of hostLinks.flatMap(({store: storeLink, cloudApi: cloudLink}) => [storeLink, cloudLink])) {
				link.close();
			}

			cloudApi.close();
			store.close();
			for (const group of groups) {
				group.close();
			}
		},
	};
}
