import {type parseConfiguration} from '@sapphirefall/platform';
import {connectOperator} from './connect-operator.ts';
import type {OperatorOptions} from './operator-options.ts';

type KnownConfiguration = Pick<ReturnType<typeof parseConfiguration>, 'version' | 'workspaces' | 'freshness' | 'exceptions' | 'routes' | 'costs'> & {
	/** Workspace of each key, by key id. */
	readonly keys: ReadonlyMap<string, string>;
};

/** The configuration as it is shown in JSON, in which maps are objects. */
type Shown<Content> = {readonly [Name in keyof Content]: Content[Name] extends ReadonlyMap<string, infer Value> ? Readonly<Record<string, Value>> : Content[Name]};

/** Reads the configuration that a host holds, without key digests. */
export async function readKnownConfiguration(options: OperatorOptions): Promise<KnownConfiguration> {
	const {configuration} = await connectOperator(options, async client => client.status({}));
	const known = JSON.parse(configuration) as Shown<KnownConfiguration>;
	return {
		...known,
		workspaces: new Map(Object.entries(known.workspaces)),
		keys: new Map(Object.entries(known.keys)),
		freshness: new Map(Object.entries(known.freshness)),
		routes: new Map(Object.entries(known.routes)),
	};
}
