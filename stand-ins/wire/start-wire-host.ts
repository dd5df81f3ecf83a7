/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {findWireHostPorts} from './find-wire-host-ports.ts';
import type {WireHostOptions} from './wire-host-options.ts';
import type {WireHostPorts} from './wire-host-ports.ts';
import type {WireHost} from './wire-host.ts';

const thisCheckout = path.join(import.meta.dirname, '../..');

/** Starts a host process of a simulated deployment. */
export async function startWireHost(name: string, options: WireHostOptions): Promise<WireHost> {
	const {checkout = thisCheckout, nodeArguments = [], program, descriptorLimit} = options;
	const ports = await findWireHostPorts();
	const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'sapphirefall-wire-')), 'local.conf');
	writeFileSync(file, formatSettings(name, ports, options));
	const run = program === undefined ? ['--import=tsx', ...nodeArguments, 'platform/main.ts'] : [...nodeArguments, program];
	// The shell is replaced by the program, which keeps its process id.
	const [command, ...commandArguments] = descriptorLimit === undefined
		? [process.execPath, ...run]
		: ['/bin/sh', '-c', `ulimit -n ${descriptorLimit} && exec "$0" "$@"`, process.execPath, ...run];
	const child = spawn(command ?? '', commandArguments, {
		cwd: checkout, env: {...process.env, SAPPHIREFALL_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	let output = '';
	child.stdout.on('data', (chunk: unknown) => {
		output += String(chunk);
	});
	let errors = '';
	child.stderr.on('data', (chunk: unknown) => {
		errors += String(chunk);
		process.stderr.write(String(chunk));
	});
	return {
		name, process: child, port: ports.callers, readyPort: ports.readiness, hostsPort: ports.hosts, output: () => output, errors: () => errors,
	};
}

/** Formats the settings file of a host. */
function formatSettings(name: string, ports: WireHostPorts, {zone, storePort, cloudPort, isFirstStart = false, gracePeriodSeconds = 4, settings = []}: WireHostOptions): string {
	return `node_name=${name}
ip=127.0.0.1
zone=${zone}
bootstrap=${String(isFirstStart)}
listen_addrs.front=127.0.0.1:${ports.callers}
listen_addrs.ready=127.0.0.1:${ports.readiness}
port_range=${ports.hosts},${ports.hosts + 1}
bounds.grace_s=${gracePeriodSeconds}
bounds.revoke_ms=5000
bounds.config_apply_ms=3000
bounds.quota_window_s=5
bounds.quota_overage=0.1
bounds.quota_slack=20
platform.address=127.0.0.1:${storePort}
cloud_api.address=127.0.0.1:${cloudPort}
${settings.map(line => `${line}\n`).join('')}`;
}
