import {formatFreshness, type Declaration} from '@sapphirefall/decisions';

type Sections = Omit<Declaration, 'keys'> & {
	/** Workspace of each key. */
	readonly keys?: Readonly<Record<string, string>>;
};

/** Describes each entry of a configuration as text, by name, so that two configurations can be compared. Leaves out key digests. */
export function describeConfigurationEntries(configuration: Sections): Readonly<Record<string, string>> {
	const {
		workspaces = {}, keys = {}, freshness = {}, exceptions = [], routes = {},
	} = configuration;
	return Object.fromEntries([
		...Object.entries(workspaces).map(([name, {rate, burst, databases}]) =>
			[`workspace ${name}`, `rate ${rate}, burst ${burst}, databases ${databases.join(', ')}`]),
		...Object.entries(keys).map(([name, workspace]) => [`key ${name}`, `of workspace ${workspace}`]),
		...Object.entries(freshness).map(([kind, value]) => [`freshness ${kind}`, formatFreshness(value)]),
		...exceptions.map(exception => [
			`exception of ${exception.workspace} for ${exception.kind}`,
			`${formatFreshness(exception.freshness)}, since ${exception.reason}`,
		]),
		...Object.entries(routes).map(([name, route]) => [
			`route ${name}`,
			`${route.sql} in ${route.database}, ${formatFreshness(route.freshness)}, paid by ${route.workspace}`,
		]),
	]) as Readonly<Record<string, string>>;
}
