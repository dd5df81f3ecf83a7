import {setTimeout as sleep} from 'node:timers/promises';
import {rankHosts} from '@sapphirefall/decisions';
import {bootstrapSettleMs} from './bootstrap-settle-ms.ts';
import type {createTableCache} from './create-table-cache.ts';
import type {createTablePoll} from './create-table-poll.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import {findTableMark} from './find-table-mark.ts';
import type {HostRow} from './host-row.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	/** Whether the whole fleet is starting for the first time. */
	readonly isFirstStart: boolean;
	readonly store: Pick<Store, 'read'>;
	readonly listHosts: () => readonly HostRow[];
	readonly cache: Pick<ReturnType<typeof createTableCache>, 'findTable' | 'updateTable'>;
	/** Requests the tables from another host. */
	readonly poll: ReturnType<typeof createTablePoll>;
	readonly log: SessionLog;
};

/** Number of hosts that a starting host asks for rows that the store has lost. */
const startupSourceCount = 3;

/** Milliseconds for which a starting host waits for these rows. */
const startupPollTimeoutMs = 400;

/**
 * Reads all tables at the start of a host that is registered, so that it does not depend on other hosts that may be
 * restarting as well. On the first start of the fleet, the host waits for the other hosts to register and reads only the
 * `fleet` table; the store reader among the hosts reads the others.
 */
export async function readFirstTables(options: Options): Promise<void> {
	if (options.isFirstStart) {
		await sleep(bootstrapSettleMs);
		await readTable('fleet', options);
	} else {
		await readTable('fleet', options);
		await pollForLostRows(options);
		await Promise.all([readTable('configuration', options), readTable('instances', options)]);
	}
}

async function readTable(table: StoreTable, {self, store, cache, log}: Options): Promise<void> {
	const outcome = await store.read(table);
	if (outcome.kind === 'done') {
		const {rows: list, version, sentAt} = outcome.value;
		const rows = new Map(list.map(row => [row.key, row]));
		cache.updateTable(table, {
			rows, version, mark: findTableMark(rows), confirmedAt: sentAt, reader: self,
		});
	} else {
		log.warn({table, outcome: outcome.kind}, 'store: The host could not read the table when it started.');
	}
}

/** Requests the tables from some other hosts first if the store ever came back from an older copy, as they may know rows that it has lost. */
async function pollForLostRows({self, listHosts, cache, poll}: Options): Promise<void> {
	const version = cache.findTable('fleet')?.version ?? 0;
	if (decodeStoreVersion(version).era > 1) {
		const others = rankHosts(`start/${self}`, listHosts().map(({name}) => name).filter(name => name !== self));
		const polls = others.slice(0, startupSourceCount).map(async source => poll(source));
		await Promise.race([Promise.all(polls), sleep(startupPollTimeoutMs)]);
	}
}
