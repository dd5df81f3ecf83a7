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
	/** Partition of the workspaces whose rates are to be allocated. */
	readonly partition: number;
	/** Names of the hosts that are registered. */
	readonly hosts: readonly string[];
	/** Epoch that this process is to take. */
	readonly epoch: number;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	readonly store: Store;
	readonly log: SessionLog;
};

/** Maximum number of hosts whose reachability is checked. */
const reachabilitySampleSize = 12;

/**
 * Takes the lease of a partition's rate allocator by writing the next epoch to the store; `row` is the stored lease, which
 * may be one of an earlier era of the store.
 *
 * A host that would replace another one writes nothing if it reaches fewer than half of a sample of the other hosts,
 * because most hosts could not send it claims then.
 */
export async function takeRateAllocatorLease(row: Versioned<RateAllocatorRow> | undefined, options: Options): Promise<void> {
	const {self, incarnation, partition, epoch, store, log} = options;
	if (row !== undefined && row.holder !== self && !await isReachingMost(options)) {
		return;
	}

	const key = `${fleetKeys.rateAllocatorPrefix}${partition}`;
	const next: RateAllocatorRow = {holder: self, incarnation, epoch};
	const outcome = await store.commit({
		expected: new Map([[key, row?.version ?? 0]]),
		values: new Map([[key, JSON.stringify(next)]]),
	});
	log.info({
		partition, previous: row?.holder, epoch, outcome: outcome.kind,
	}, 'rates: This host tried to take the rate allocator\'s lease.');
}

/** Whether this host reaches at least half of a sample of the others; does not wait for the rest once it does. */
async function isReachingMost({
	self, incarnation, partition, hosts, findPeer,
}: Options): Promise<boolean> {
	const others = rankHosts(`reach/${self}`, hosts.filter(host => host !== self)).slice(0, reachabilitySampleSize);
	const needed = Math.ceil(others.length / 2);
	if (needed === 0) {
		return true;
	}

	return new Promise(resolve => {
		let answered = 0;
		const calls = others.map(async host => {
			const answer = await findPeer(host)?.claimRates({
				host: self, incarnation, partition, epoch: 0, claims: [],
			});
			answered += answer === undefined ? 0 : 1;
			if (answered >= needed) {
				resolve(true);
			}
		});
		void Promise.allSettled(calls).then(() => { // eslint-disable-line promise/prefer-await-to-then
			resolve(false);
		});
	});
}
