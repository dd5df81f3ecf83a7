import {rankHosts} from '@sapphirefall/decisions';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	readonly self: string;
	readonly incarnation: number;
	/** Partition of the workspaces whose rates are to be shared out. */
	readonly partition: number;
	/** Names of the hosts that are registered. */
	readonly hosts: readonly string[];
	readonly findPeer: (host: string) => FleetPeer | undefined;
	readonly store: Store;
	readonly log: SessionLog;
};

/** Hosts that are asked at most whether they can be reached. */
const reachSample = 12;

/** Takes the place of the home of the rates in the store, unless this host reaches too few others to be of use. */
export async function takeRateAllocatorLease(row: Versioned<RateAllocatorRow> | undefined, options: Options): Promise<void> {
	const {self, incarnation, partition, store, log} = options;
	if (row !== undefined && row.holder !== self && !await reachesMost(options)) {
		return;
	}

	const key = `${fleetKeys.rateAllocatorPrefix}${partition}`;
	const next: RateAllocatorRow = {holder: self, incarnation, epoch: (row?.epoch ?? 0) + 1};
	const outcome = await store.commit({
		expected: new Map([[key, row?.version ?? 0]]),
		values: new Map([[key, JSON.stringify(next)]]),
	});
	log.info({
		partition, previous: row?.holder, epoch: next.epoch, outcome: outcome.kind,
	}, 'rates: This host offers to share out the rates.');
}

/** Whether this host reaches at least half of a sample of the others. */
async function reachesMost({
	self, incarnation, partition, hosts, findPeer,
}: Options): Promise<boolean> {
	const others = rankHosts(`reach/${self}`, hosts.filter(host => host !== self)).slice(0, reachSample);
	const answers = await Promise.all(others.map(async host => findPeer(host)?.claimRates({
		host: self, incarnation, partition, epoch: 0, claims: [],
	})));
	return answers.filter(answer => answer !== undefined).length * 2 >= others.length;
}
