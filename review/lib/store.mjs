import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

/** Milliseconds that the store takes for an answer. */
const answerMs = 4;

/**
 * Starts a stand-in of the platform's metadata store, with rows in tables, on a free port of the loopback address.
 *
 * It is sound: transactions are atomic, answers are linearizable, and no answer is lost.
 */
export async function startStore() {
	const rows = new Map();
	const history = [];
	const waiters = new Set();
	let version = 0;

	const apply = changes => {
		version++;
		for (const change of changes) {
			const row = {...change, part: '', ver: version};
			const name = `${row.table}/${row.key}`;
			history.push(row);
			if (row.tombstone) {
				rows.delete(name);
			} else {
				rows.set(name, row);
			}
		}

		for (const wake of waiters) {
			wake();
		}
	};

	const reply = async (response, status, body) => {
		const whole = {...body, ver: version, now_ms: Math.round(performance.now())}; // eslint-disable-line camelcase -- a name of the pages
		await sleep(answerMs);
		response.writeHead(status, {'Content-Type': 'application/json'});
		response.end(JSON.stringify(whole));
	};

	const commit = async (request, response) => {
		const change = JSON.parse(await text(request));
		const expected = change.expected_rev ?? [];
		const isExpected = expected.every(({table, key, ver}) => (rows.get(`${table}/${key}`)?.ver ?? 0) === ver);
		if (!isExpected) {
			const present = expected.map(({table, key}) => rows.get(`${table}/${key}`)).filter(row => row !== undefined);
			await reply(response, 412, {rows: present});
			return;
		}

		apply([
			...(change.put ?? []).map(({table, key, value}) => ({table, key, value})),
			...(change.delete ?? []).map(({table, key}) => ({table, key, tombstone: true})),
		]);
		await reply(response, 200, {});
	};

	const follow = async (query, response) => {
		const after = Number(query.get('after'));
		const table = query.get('table');
		const listChanged = () => history.filter(row => row.table === table && row.ver > after);
		if (listChanged().length === 0) {
			await new Promise(resolve => {
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

				const timer = setTimeout(finish, Number(query.get('wait_ms')));
				waiters.add(check);
			});
		}

		await reply(response, 200, {rows: listChanged()});
	};

	const handle = async (request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		if (pathname.endsWith('/rows-tx')) {
			await commit(request, response);
		} else if (pathname.endsWith('/rows-feed')) {
			await follow(searchParams, response);
		} else {
			const table = searchParams.get('table');
			const found = [...rows.values()].filter(row => row.table === table).toSorted((a, b) => (a.key < b.key ? -1 : 1));
			await reply(response, 200, {rows: found, truncated: false});
		}
	};

	const server = createServer((request, response) => {
		handle(request, response);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		port: server.address().port,
		/** Writes a row as an operator, an instance or another writer of the platform does. */
		put(table, key, value) {
			const bytes = typeof value === 'string' ? value : JSON.stringify(value);
			apply([{table, key, value: Buffer.from(bytes).toString('base64')}]);
		},
		drop(table, key) {
			apply([{table, key, tombstone: true}]);
		},
		/** Returns the decoded values of a table's rows by key. */
		list(table) {
			return new Map([...rows.values()].filter(row => row.table === table).map(row => [row.key, JSON.parse(Buffer.from(row.value, 'base64').toString())]));
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
