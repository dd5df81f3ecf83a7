import type {Configuration} from './configuration.ts';

/** Units by class: a read that can wait is the cheapest. */
const defaultCosts = {
	write: 4, latest: 4, session: 2, within: 1,
} as const;

/** Creates the configuration of a fleet that no operator has configured yet. */
export function createConfiguration(): Configuration {
	return {
		version: 0,
		changeId: '',
		workspaces: {},
		keys: {},
		freshness: {},
		exceptions: [],
		routes: {},
		costs: defaultCosts,
	};
}
