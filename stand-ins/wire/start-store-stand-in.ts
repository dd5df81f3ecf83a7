/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoreStandIn} from './store-stand-in.ts';

type Row = {readonly table: string; readonly key: string; readonly value?: string; readonly ver: number; readonly tombstone?: boolean};

type Change = {
	readonly expected_rev?: ReadonlyArray<{readonly table: string; readonly key: string; readonly ver: number}>;
	readonly put?: ReadonlyArray<{readonly table: string; readonly key: string; readonly value: string}>;
	readonly delete?: ReadonlyArray<{readonly table: string; readonly key: string}>;
};

/** Starts a simulated store of the platform on a free port of the loopback address. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
	const rows = new Map<string, Row>();
	const waiters = new Set<() => void>();
	/** All writes of this era, with when each was made, in milliseconds of the steady clock. */
	let writes: Array<{readonly at: number; readonly row: Row}> = [];
	let history: Row[] = [];
	/** Rises by one each time the store comes back from an older copy. */
	let era = 1;
	let compactedVersion = 0;
	let version = 0;
	let mode: Parameters<StoreStandIn['setMode']>[0] = 'available';
	let remainingLostAnswers = 0;

	const applyRow = (row: Row) => {
		if (row.tombstone === true) {
			rows.delete(`${row.table}/${row.key}`);
		} else {
			rows.set(`${row.table}/${row.key}`, row);
		}
	};

	const write = (changes: ReadonlyArray<Omit<Row, 'ver'>>) => {
		version++;
		for (const change of changes) {
			const row = {...change, ver: version};
			history.push(row);
			writes.push({at: performance.now(), row});
			applyRow(row);
		}

		for (const notify of waiters) {
			notify();
		}
	};

	const reply = (response: ServerResponse, status: number, body: object) => {
		response.writeHead(status, {'Content-Type': 'application/json', 'Store-Era': String(era)});
		response.end(JSON.stringify({...body, ver: version, now_ms: performance.now()}));
	};

	const commit = async (request: IncomingMessage, response: ServerResponse) => {
		const change = JSON.parse(await text(request)) as Change;
		const hasExpectedVersions = (change.expected_rev ?? []).every(({table, key, ver}) => (rows.get(`${table}/${key}`)?.ver ?? 0) === ver);
		if (!hasExpectedVersions) {
			reply(response, 412, {rows: []});
			return;
		}

		write([
			...(change.put ?? []).map(({table, key, value}) => ({table, key, value})),
			...(change.delete ?? []).map(({table, key}) => ({table, key, tombstone: true})),
		]);
		if (remainingLostAnswers > 0) {
			remainingLostAnswers--;
			request.socket.destroy();
		} else {
			reply(response, 200, {});
		}
	};

	const follow = async (query: URLSearchParams, response: ServerResponse) => {
		const after = Number(query.get('after'));
		if (after < compactedVersion || after > version) {
			reply(response, 410, {});
			return;
		}

		const listChanged = () => history.filter(row => row.table === query.get('table') && row.ver > after);
		if (listChanged().length === 0) {
			await new Promise<void>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					waiters.delete(check);
					resolve();
				};

				const check = () => {
					if (listChanged().length > 0) {
						finish();
					}
				};

				const wait = Number(query.get('wait_ms'));
				// Like the platform, accepts whole milliseconds only, and does not wait for any other value.
				const timer = setTimeout(finish, Number.isInteger(wait) ? wait : 0);
				waiters.add(check);
			});
		}

		reply(response, 200, {rows: listChanged()});
	};

	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://store');
		if (mode === 'unresponsive') {
			return;
		}

		if (mode === 'unavailable') {
			reply(response, 503, {});
		} else if (pathname.endsWith('/rows-tx')) {
			await commit(request, response);
		} else if (pathname.endsWith('/rows-feed')) {
			await follow(searchParams, response);
		} else {
			reply(response, 200, {rows: [...rows.values()].filter(row => row.table === searchParams.get('table')), truncated: false});
		}
	};

	/** Goes back to the state of a moment, and forgets all writes after it. */
	const rewind = (to: number) => {
		const kept = writes.filter(({at}) => at <= to);
		const lost = writes.slice(kept.length);
		rows.clear();
		for (const {row} of kept) {
			applyRow(row);
		}

		writes = kept;
		version = kept.at(-1)?.row.ver ?? 0;
		history = history.filter(row => row.ver <= version);
		era++;
		return lost.map(({row}) => row);
	};

	const server = createServer((request, response) => {
		void handleRequest(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const putTexts: StoreStandIn['putTexts'] = (table, values) => {
		write([...values].map(([key, value]) => ({table, key, value: Buffer.from(value).toString('base64')})));
	};

	const putText = (table: string, key: string, value: string) => {
		putTexts(table, new Map([[key, value]]));
	};

	return {
		address: () => server.address() as AddressInfo,
		put(table, key, value) {
			putText(table, key, JSON.stringify(value));
		},
		putText,
		putTexts,
		delete(table, key) {
			write([{table, key, tombstone: true}]);
		},
		read(table, key) {
			const value = rows.get(`${table}/${key}`)?.value;
			return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString()) as unknown;
		},
		setMode(newMode) {
			mode = newMode;
			server.closeAllConnections();
		},
		async restore({lostMs, awayMs, rewriteAfterMs}) {
			mode = 'unavailable';
			server.closeAllConnections();
			const lost = rewind(performance.now() - lostMs);
			await sleep(awayMs);
			mode = 'available';
			if (rewriteAfterMs === undefined) {
				return;
			}

			await sleep(rewriteAfterMs);
			for (const {ver: _ver, ...row} of lost.filter(({table}) => table === 'op' || table === 'servers')) {
				write([row]);
			}
		},
		version: () => version,
		loseAnswers(count) {
			remainingLostAnswers = count;
		},
		compact() {
			history = [];
			compactedVersion = version;
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
