/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {createVersionedRows} from './create-versioned-rows.ts';
import type {StoreStandIn} from './store-stand-in.ts';

type Change = {
	readonly expected_rev?: ReadonlyArray<{readonly table: string; readonly key: string; readonly ver: number}>;
	readonly put?: ReadonlyArray<{readonly table: string; readonly key: string; readonly value: string}>;
	readonly delete?: ReadonlyArray<{readonly table: string; readonly key: string}>;
};

/** Starts a simulated store of the platform on a free port of the loopback address. */
export async function startStoreStandIn(): Promise<StoreStandIn> {
	const waiters = new Set<() => void>();
	/** Rises by one each time the store comes back from an older copy. */
	let era = 1;
	let mode: Parameters<StoreStandIn['setMode']>[0] = 'available';
	let remainingLostAnswers = 0;

	const rows = createVersionedRows(() => {
		for (const notify of waiters) {
			notify();
		}
	});

	const reply = (response: ServerResponse, status: number, body: object) => {
		response.writeHead(status, {'Content-Type': 'application/json', 'Store-Era': String(era)});
		response.end(JSON.stringify({...body, ver: rows.version(), now_ms: performance.now()}));
	};

	const commit = async (request: IncomingMessage, response: ServerResponse) => {
		const change = JSON.parse(await text(request)) as Change;
		const hasExpectedVersions = (change.expected_rev ?? []).every(({table, key, ver}) => (rows.findRow(table, key)?.ver ?? 0) === ver);
		if (!hasExpectedVersions) {
			reply(response, 412, {rows: []});
			return;
		}

		rows.write([
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
		if (!rows.isCovered(after)) {
			reply(response, 410, {});
			return;
		}

		const listChanged = () => rows.listChanges(query.get('table'), after);
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
			reply(response, 200, {rows: rows.listRows(searchParams.get('table')), truncated: false});
		}
	};

	const server = createServer((request, response) => {
		void handleRequest(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const putTexts: StoreStandIn['putTexts'] = (table, values) => {
		rows.write([...values].map(([key, value]) => ({table, key, value: Buffer.from(value).toString('base64')})));
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
			rows.write([{table, key, tombstone: true}]);
		},
		read(table, key) {
			const value = rows.findRow(table, key)?.value;
			return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString()) as unknown;
		},
		setMode(newMode) {
			mode = newMode;
			server.closeAllConnections();
		},
		async restore({lostMs, awayMs, rewriteAfterMs}) {
			mode = 'unavailable';
			server.closeAllConnections();
			const lost = rows.rewind(performance.now() - lostMs);
			era++;
			await sleep(awayMs);
			mode = 'available';
			if (rewriteAfterMs === undefined) {
				return;
			}

			await sleep(rewriteAfterMs);
			for (const {ver: _ver, ...row} of lost.filter(({table}) => table === 'op' || table === 'servers')) {
				rows.write([row]);
			}
		},
		version: rows.version,
		loseAnswers(count) {
			remainingLostAnswers = count;
		},
		compact: rows.compact,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
