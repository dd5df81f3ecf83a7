import {expect} from 'chai';
import type {ScenarioContext} from './scenario-context.ts';

/** Kills all hosts through which changes enter, as a host names them, and takes them off the platform's list. */
export async function loseAcceptors({cluster, killedHosts, transcript}: ScenarioContext): Promise<void> {
	const {acceptors} = await cluster.operator(cluster.hosts[0] ?? '').status({});
	expect(acceptors, 'hosts through which changes enter').to.not.have.length(0);
	for (const host of acceptors) {
		transcript.add(`kill ${host}`);
		cluster.child(host).signal('SIGKILL');
		killedHosts.add(host);
	}

	await cluster.platform.setFault({unlisted: [...killedHosts]});
}
