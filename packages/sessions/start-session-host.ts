import {takeUnits, type TokenBucket} from '@sapphirefall/decisions';
import {createSession} from './create-session.ts';
import {createSessionGroup} from './create-session-group.ts';
import type {Directory} from './directory.ts';
import {findAccess} from './find-access.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import {followTable} from './follow-table.ts';
import type {HostProfile} from './host-profile.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import type {KnownDirectory} from './known-directory.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OpenLink} from './open-link.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {Session} from './session.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';

type Options = {
	readonly profile: HostProfile;
	readonly store: Store;
	readonly openLink: OpenLink;
	readonly decodeDirectory: (text: string) => Directory;
	readonly decodeInstance: (id: string, text: string) => ListedInstance | undefined;
	readonly now: () => Instant;
	readonly log: SessionLog;
	readonly onAnswered: SessionContext['onAnswered'];
};

/** A host that serves sessions. */
type SessionHost = {
	readonly openSession: (connection: Pick<Parameters<typeof createSession>[0], 'send' | 'close'>) => Session;
	readonly isReady: () => boolean;
	/** Stops taking work; resolves when no session is left, or the time is over. */
	readonly stop: () => Promise<void>;
};

/** Milliseconds that calls which follow the tables may wait for changes. */
const followWaits = {configuration: 1500, fleet: 1000, instances: 4000};

/** Milliseconds between two rounds of small tasks. */
const tickInterval = 200;

/** Connections of an instance that are left to hosts which come and go. */
const spareConnections = 4;

/** Starts a host that serves sessions: it follows the store, and takes callers once it knows enough. */
export function startSessionHost(options: Options): SessionHost {
	const {profile, store, now, log} = options;
	const stopping = new AbortController();
	const groups = new Map<string, SessionGroup>();
	const sessions = new Set<Session>();
	const buckets = new Map<string, TokenBucket>();
	const incarnation = Math.trunc(now().wall);
	let known: KnownDirectory | undefined;
	let listed: ReadonlyMap<string, ListedInstance> = new Map();
	let fleet: FleetRows = {groups: new Map(), hosts: new Map(), duty: undefined};
	let fleetProvenAt: Instant | undefined;
	let sessionCount = 0;
	let isRegistered = false;

	const findWorkspace = () => known?.directory.limits.keys().next().value;

	const countHosts = () => Math.max(1, fleet.hosts.size);

	const updateGroups = () => {
		if (known === undefined) {
			return;
		}

		for (const [name, cap] of known.directory.connectionCaps) {
			const group = groups.get(name) ?? createSessionGroup(name, {
				zone: profile.zone, openLink: options.openLink, now, log, findWorkspace,
			});
			groups.set(name, group);
			const limit = Math.max(1, Math.floor((cap - spareConnections) / countHosts()));
			group.updateInstances([...listed.values()].filter(entry => entry.group === name), limit);
			if (isRegistered) {
				group.setRegistered();
			}

			if (fleetProvenAt !== undefined) {
				group.updateRow(fleet.groups.get(name), fleetProvenAt);
			}
		}
	};

	const register = async () => {
		const key = `${fleetKeys.hostPrefix}${profile.name}`;
		const row: HostRow = {
			name: profile.name, zone: profile.zone, address: `${profile.listen.hosts.host}:${profile.listen.hosts.port}`, incarnation,
		};
		const outcome = await store.commit({expected: new Map(), values: new Map([[key, JSON.stringify(row)]])});
		if (outcome.kind === 'done') {
			log.info({incarnation}, 'host: The host is registered in the store.');
		}
	};

	/** Names the first primary of each group that has none in the store, as the instances see themselves. */
	const nameFirstPrimaries = async () => {
		for (const name of groups.keys()) {
			const primary = [...listed.values()].find(entry => entry.group === name && entry.role === 'primary' && !entry.isDeparting);
			if (fleet.groups.has(name) || primary === undefined) {
				continue;
			}

			const key = `${fleetKeys.groupPrefix}${name}`;
			const row = {
				epoch: 1, state: 'serving', primary: primary.id, successor: '', holder: profile.name, token: 0,
			};
			const outcome = await store.commit({expected: new Map([[key, 0]]), values: new Map([[key, JSON.stringify(row)]])});
			log.info({group: name, primary: primary.id, outcome: outcome.kind}, 'group: The first primary is named in the store.');
		}
	};

	const follow = (table: keyof typeof followWaits, onRows: Parameters<typeof followTable>[0]['onRows']) => {
		void followTable({
			store, table, wait: followWaits[table], onRows, log, signal: stopping.signal,
		});
	};

	follow('configuration', (rows, provenAt) => {
		const row = rows.get('config');
		if (row?.value === undefined) {
			return;
		}

		if (known !== undefined && known.directory.version !== 0 && row.version === directoryRowVersion) {
			known = {...known, provenAt};
			return;
		}

		try {
			const directory = options.decodeDirectory(row.value);
			directoryRowVersion = row.version;
			if (known === undefined || directory.version >= known.directory.version) {
				known = {directory, provenAt};
				log.info({version: directory.version, routes: directory.routes.size, workspaces: directory.limits.size}, 'configuration: A version is in force.');
			}

			updateGroups();
		} catch (error) {
			log.warn({version: row.version, error: (error as Error).message}, 'configuration: A version cannot be read; the older one stays.');
		}
	});
	let directoryRowVersion = -1;

	follow('instances', rows => {
		const entries = [...rows].map(([id, row]) => options.decodeInstance(id, row.value ?? '')).filter(entry => entry !== undefined);
		listed = new Map(entries.map(entry => [entry.id, entry]));
		updateGroups();
	});

	follow('fleet', (rows, provenAt) => {
		fleet = parseFleetRows(rows.values(), log);
		fleetProvenAt = provenAt;
		const own = fleet.hosts.get(profile.name);
		isRegistered = own?.incarnation === incarnation;
		updateGroups();
	});

	const tick = () => {
		for (const group of groups.values()) {
			void group.probe();
		}

		if (fleetProvenAt !== undefined && !isRegistered) {
			void register();
		}

		void nameFirstPrimaries();
	};

	const timer = setInterval(tick, tickInterval);

	const context: SessionContext = {
		now,
		findAccess: (database, keyDigest) => findAccess(known, {
			database, keyDigest, revocationLimit: profile.revocationLimit, now: now(),
		}),
		transactionIdle: () => known?.directory.transactionIdle ?? 0,
		findGroup: name => groups.get(name),
		takeOperation(workspace) {
			const limits = known?.directory.limits.get(workspace);
			if (limits === undefined) {
				return {isTaken: true, retryAfter: 0};
			}

			const {bucket, isTaken, retryAfter} = takeUnits(buckets.get(workspace), {
				cost: 1, rate: limits.rate, burst: limits.burst, now: now().steady,
			});
			buckets.set(workspace, bucket);
			return {isTaken, retryAfter};
		},
		isStopping: () => stopping.signal.aborted,
		onAnswered: options.onAnswered,
		log,
	};

	return {
		openSession(connection) {
			sessionCount++;
			const session = createSession({
				context,
				number: sessionCount,
				send: connection.send,
				close() {
					sessions.delete(session);
					connection.close();
				},
			});
			sessions.add(session);
			return {
				...session,
				end() {
					sessions.delete(session);
					session.end();
				},
			};
		},
		isReady: () => !stopping.signal.aborted && known !== undefined && listed.size > 0 && isRegistered,
		async stop() {
			stopping.abort();
			clearInterval(timer);
			for (const session of sessions) {
				session.stop();
			}
		},
	};
}
