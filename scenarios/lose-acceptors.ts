import {expect} from 'chai';
import type {ScenarioContext} from './scenario-context.ts';

/**
 * Kills all acceptors, the hosts that accept configuration changes, and removes them from the platform's list of hosts.
 * The first host says which hosts are acceptors.
 */
export async function loseAcceptors({cluster, killedHosts, transcript}: ScenarioContext): Promise<void> {
	const {acceptors} = await cluster.operator(cluster.hosts[0] ?? '').status({});
	expect(acceptors, 'acceptors').to.not.have.length(0);
	for (const host of acceptors) {
		transcript.add(`kill ${host}`);
		cluster.child(host).signal('SIGKILL');
		killedHosts.add(host);
	}

	await cluster.platform.setFault({unlisted: [...killedHosts]});
}
