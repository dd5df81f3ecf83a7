import type {Configuration} from './configuration.ts';

/** Units that a request costs, by class: the staler the data that a read accepts, the cheaper it is. */
const defaultCosts = {
	write: 4, latest: 4, session: 2, within: 1,
} as const;

/** Creates version 0 of the configuration, which a fleet has before an operator configures it. */
export function createConfiguration(): Configuration {
	return {
		version: 0,
		changeId: '',
		workspaces: new Map(),
		keys: new Map(),
		freshness: new Map(),
		exceptions: [],
		routes: new Map(),
		costs: defaultCosts,
	};
}
