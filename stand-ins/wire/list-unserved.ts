import {isServing} from './is-serving.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {WireDeployment} from './wire-deployment.ts';

type Options = {
	readonly deployment: Pick<WireDeployment, 'hosts' | 'groups'>;
	/** Returns a database of a group, which is given by its index. */
	readonly findDatabase: (group: number) => string;
	/** Milliseconds that a host is given to serve a write on a group. */
	readonly limitMs: number;
};

/** Lists the hosts that serve no write on a group once the faults are over, with the last answer of each. */
export async function listUnserved({deployment: {hosts, groups}, findDatabase, limitMs}: Options): Promise<readonly SoakFinding[]> {
	const findUnserved = async ({name, port}: WireDeployment['hosts'][number], group: number): Promise<readonly SoakFinding[]> => {
		const answers: string[] = [];
		const isServed = await isServing({
			port,
			database: findDatabase(group),
			text: `WRITE soak-${name} served`,
			limitMs,
			onAnswer({result, reason}) {
				answers.push(`${result} ${reason}`);
			},
		});
		const what = `${name} served no write on ${groups[group]?.name ?? ''} for ${limitMs} ms after the faults; the last of ${answers.length} answers: ${answers.at(-1) ?? ''}`;
		return isServed ? [] : [{rule: 'RECOVER', what}];
	};

	const findings = await Promise.all(hosts.flatMap(host => groups.map(async (_, group) => findUnserved(host, group))));
	return findings.flat();
}
