import {type parseConfiguration} from '@sapphirefall/platform';
import {connectOperator} from './connect-operator.ts';
import type {OperatorOptions} from './operator-options.ts';

type KnownConfiguration = Pick<ReturnType<typeof parseConfiguration>, 'version' | 'workspaces' | 'freshness' | 'exceptions' | 'routes' | 'costs'> & {
	/** Workspace of each key, by key id. */
	readonly keys: Readonly<Record<string, string>>;
};

/** Reads the configuration that a host holds, without key digests. */
export async function readKnownConfiguration(options: OperatorOptions): Promise<KnownConfiguration> {
	const {configuration} = await connectOperator(options, async client => client.status({}));
	return JSON.parse(configuration) as KnownConfiguration;
}
