import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const repository = path.join(import.meta.dirname, '../..');

/** Milliseconds within which all hosts must be ready. */
const readyTimeoutMs = 20_000;

/** Blocks of ports below those that the system gives to outgoing connections. */
const blocks = {first: 20_000, size: 120, count: 100};

/** Listens on a port; resolves to the server, or to undefined if the port is taken. */
async function listen(port) {
	const server = createServer();
	return new Promise(resolve => {
		server.on('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

/**
 * Reserves a block of free ports for this process. The first port is kept in use, so that cases that run at the same time
 * get other blocks.
 */
async function reservePorts() {
	for (let offset = 0; offset < blocks.count; offset++) {
		const first = blocks.first + (blocks.size * ((process.pid + offset) % blocks.count));
		const guard = await listen(first); // eslint-disable-line no-await-in-loop -- one block after another
		if (guard === undefined) {
			continue;
		}

		const probes = await Promise.all(Array.from({length: blocks.size - 1}, async (_, index) => listen(first + 1 + index))); // eslint-disable-line no-await-in-loop -- see above
		await Promise.all(probes.map(async probe => probe && new Promise(resolve => { // eslint-disable-line no-await-in-loop -- see above
			probe.close(resolve);
		})));
		if (probes.every(probe => probe !== undefined)) {
			let next = first + 1;
			return {
				take(count) {
					next += count;
					return next - count;
				},
				free() {
					guard.close();
				},
			};
		}

		guard.close();
	}

	throw new Error('No block of ports is free');
}

/** Reads the command of the deploy file that starts a host. */
function readCommand() {
	const deploy = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>.*)"$/mv.exec(deploy).groups.command.split(' ');
}

/**
 * Starts hosts as the deploy file says, as processes of their own, with the settings of a small deployment.
 *
 * @param options.names Names of the hosts with the zone of each.
 * @param options.storePort Port of the platform's store.
 * @param options.cloudPort Port of the platform's interface for singleton duties.
 * @param options.onEnded Called with a host whose process has ended, its exit code and its signal.
 */
export async function startHosts({names, storePort, cloudPort, onEnded = () => undefined}) {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'sapphirefall-review-'));
	const [program, ...words] = readCommand();
	const hosts = [];
	let isStopping = false;
	const ports = await reservePorts();
	for (const {name, zone} of names) {
		const front = ports.take(2);
		hosts.push({
			name, zone, port: front, readyPort: front + 1, innerPort: ports.take(16),
		});
	}

	const start = (host, isFirstStart) => {
		const file = path.join(folder, `${host.name}.conf`);
		writeFileSync(file, `node_name=${host.name}
role=host
machine_class=front
serves=front
ip=127.0.0.1
zone=${host.zone}
region=new-england
listen_addrs.front=127.0.0.1:${host.port}
listen_addrs.ready=127.0.0.1:${host.readyPort}
port_range=${host.innerPort},${host.innerPort + 15}
bootstrap=${String(isFirstStart)}
limits.memory_mb=350
limits.max_fds=4200
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
fault_tolerance.machines=2
fault_tolerance.zones=1
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=12000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.quota_window_s=5
bounds.quota_overage=0.1
bounds.quota_slack=20
bounds.recovery_s=12
bounds.require_fencing=false
bounds.unfreeze_ms=300
platform.address=127.0.0.1:${storePort}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
cloud_api.address=127.0.0.1:${cloudPort}
cloud_api.rate_per_s=50.0
cloud_api.duties=failover
cloud_api.duty_per_s=50.0
`);
		host.logFile = path.join(folder, `${host.name}.log`);
		const output = openSync(host.logFile, 'a');
		host.process = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: repository,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, SAPPHIREFALL_BOOT: file},
			stdio: ['ignore', output, output],
		});
		host.ended = undefined;
		host.process.on('exit', (code, signal) => {
			host.ended = {code, signal, at: performance.now()};
			if (!isStopping) {
				onEnded(host, {code, signal});
			}
		});
	};

	for (const host of hosts) {
		start(host, true);
	}

	return {
		hosts,
		/** Reads what a host has written to its log. */
		readLog: host => readFileSync(host.logFile, 'utf8'),
		/** Starts a host again whose process has ended. */
		restart(host) {
			start(host, false);
		},
		async waitUntilReady() {
			const until = performance.now() + readyTimeoutMs;
			for (const host of hosts) {
				while (!await isReady(host.readyPort)) { // eslint-disable-line no-await-in-loop -- polls until ready
					if (host.ended !== undefined || performance.now() > until) {
						throw new Error(`Host ${host.name} is not ready`);
					}

					await sleep(100); // eslint-disable-line no-await-in-loop -- polls until ready
				}
			}
		},
		/** Ends the processes that were started here, by their ids. */
		async stop() {
			isStopping = true;
			for (const host of hosts) {
				host.process.kill('SIGKILL');
			}

			await sleep(200);
			ports.free();
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(folder, {recursive: true, force: true});
			} else {
				console.log(folder);
			}
		},
	};
}

/** Asks the readiness address of a host. */
export async function isReady(port) {
	try {
		const response = await fetch(`http://127.0.0.1:${port}/sapphirefall/readyz`);
		return response.status === 200;
	} catch {
		return false;
	}
}
