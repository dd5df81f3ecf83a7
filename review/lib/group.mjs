import {startInstance} from './instance.mjs';

/** Milliseconds between two heartbeats of an instance. */
const heartbeatMs = 1200;

/** Milliseconds after which an old primary follows a new one that it can reach. */
const followAfterMs = 1000;

/**
 * Starts the instances of one service: a primary in the first zone and a replica in each other one. They register
 * themselves in the store and replicate commits.
 *
 * @param options.promoteMs Milliseconds from an accepted promotion to its effect.
 */
export async function startGroup({
	service, zones, store, lagMs, promoteMs, slots, maxConnections, workMs, onArrive, onRun, onCommit = () => undefined,
}) {
	const instances = [];
	const states = new Map();
	const timers = new Set();
	/** When each promotion took effect, and which instance led before. */
	const promotions = [];
	let leader;

	const replicate = (from, entry) => {
		setTimeout(() => {
			for (const instance of instances) {
				const isNext = instance.position().number === entry.number - 1;
				if (instance !== from && instance.role === 'replica' && leader === from && !instance.isDark && !from.isDark && isNext) {
					instance.log.push(entry);
				}
			}
		}, lagMs);
	};

	const register = instance => {
		if (instance.isDark || instance.isClosed) {
			return;
		}

		instance.seq++;
		store.put('servers', instance.id, {
			id: instance.id,
			backend: service,
			address: `127.0.0.1:${instance.port}`,
			zone: instance.zone,
			version: 'v1',
			capacity: instance.slots,
			state: states.get(instance.id) ?? 'ready',
			warmup_ms: 0, // eslint-disable-line camelcase -- a name of the pages
			seq: instance.seq,
			born: bornAt,
			db_role: instance.role, // eslint-disable-line camelcase -- a name of the pages
		});
	};

	const bornAt = Date.now();
	for (const [index, zone] of zones.entries()) {
		const instance = await startInstance({ // eslint-disable-line no-await-in-loop -- started in order
			id: `i-${service}${index + 1}`,
			service,
			zone,
			role: index === 0 ? 'primary' : 'replica',
			slots,
			maxConnections,
			workMs,
			onArrive,
			onRun,
			onCommit(from, entry) {
				onCommit(from, entry, {leader, promotions});
				replicate(from, entry);
			},
		});
		instance.onStepDown = () => {
			instance.term = leader.term;
			instance.log = [...leader.log];
			register(instance);
		};

		instances.push(instance);
		register(instance);
		const timer = setInterval(register, heartbeatMs, instance);
		timers.add(timer);
	}

	[leader] = instances;

	/** Makes an instance the leader of the next term, with what it has received and nothing more. */
	const takeLead = instance => {
		const previous = leader;
		if (instance === previous || instance.isDark) {
			return;
		}

		instance.term = Math.max(...instances.map(({term}) => term)) + 1;
		instance.role = 'primary';
		leader = instance;
		promotions.push({
			at: performance.now(), id: instance.id, previous: previous.id, number: instance.position().number,
		});
		for (const other of instances) {
			if (other !== instance && other.role === 'replica') {
				other.term = instance.term;
				other.log = [...instance.log];
			}
		}

		register(instance);
		setTimeout(() => {
			if (previous.role === 'primary' && leader !== previous && !previous.isDark) {
				previous.stepDown();
			}
		}, followAfterMs);
	};

	return {
		service,
		instances,
		promotions,
		leader: () => leader,
		/** Starts a promotion, as the platform does when it accepts the call. */
		promote(id) {
			const instance = instances.find(candidate => candidate.id === id);
			if (instance === undefined || instance.isDark) {
				return false;
			}

			setTimeout(takeLead, promoteMs, instance);
			return true;
		},
		/** Makes an instance come back that went dark; it is a replica if another one was promoted meanwhile. */
		comeBack(instance) {
			instance.comeBack();
			if (leader !== instance && instance.role === 'primary') {
				instance.stepDown();
			}

			register(instance);
		},
		/** Reports an instance as departing, as before a planned shutdown. */
		drain(instance) {
			states.set(instance.id, 'draining');
			register(instance);
		},
		close() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			for (const instance of instances) {
				instance.close();
			}
		},
	};
}
