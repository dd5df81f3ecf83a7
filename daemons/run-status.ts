import {connectOperator} from './connect-operator.ts';
import {printTable} from './print-table.ts';
import type {OperatorOptions} from './operator-options.ts';

/** Runs `sapphirefall status`: prints the state of a host, and its view of the databases and the other hosts. */
export async function runStatus(options: OperatorOptions): Promise<void> {
	const status = await connectOperator(options, async client => client.status({}));
	const databases = status.groups.map(({database, term, primary, instances}) => ({
		database, term, primary, instances: instances.join(', '),
	}));
	const hosts = status.hosts.map(({id, zone, alive, configVersion}) => ({
		host: id, zone, alive: String(alive), version: configVersion,
	}));
	if (options.json === true) {
		const {host, zone, configVersion, configAgeMs, draining, running} = status;
		console.log(JSON.stringify({
			host, zone, configVersion, configAgeMs, draining, running, databases, hosts,
		}));
		return;
	}

	console.log(`Host ${status.host} in zone ${status.zone}${status.draining ? ', draining' : ''}`);
	console.log(`Configuration version ${status.configVersion}, proven ${status.configAgeMs} ms ago; ${status.running} requests run\n`);
	printTable(databases, false);
	console.log();
	printTable(hosts, false);
}
