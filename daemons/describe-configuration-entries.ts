import {createConfiguration, formatFreshness, type Declaration} from '@sapphirefall/decisions';

type Sections = Omit<Declaration, 'keys'> & {
	/** Workspace of each key. */
	readonly keys?: ReadonlyMap<string, string>;
};

const noKeys: ReadonlyMap<string, string> = new Map();

/** Describes each entry of a configuration as text, by name, so that two configurations can be compared. Leaves out key digests. */
export function describeConfigurationEntries(configuration: Sections): Readonly<Record<string, string>> {
	const {
		workspaces, keys, freshness, exceptions, routes,
	} = {...createConfiguration(), keys: noKeys, ...configuration};
	return Object.fromEntries([
		...Array.from(workspaces, ([name, {rate, burst, databases}]) =>
			[`workspace ${name}`, `rate ${rate}, burst ${burst}, databases ${databases.join(', ')}`]),
		...Array.from(keys, ([name, workspace]) => [`key ${name}`, `of workspace ${workspace}`]),
		...Array.from(freshness, ([kind, value]) => [`freshness ${kind}`, formatFreshness(value)]),
		...exceptions.map(exception => [
			`exception of ${exception.workspace} for ${exception.kind}`,
			`${formatFreshness(exception.freshness)}, since ${exception.reason}`,
		]),
		...Array.from(routes, ([name, route]) => [
			`route ${name}`,
			`${route.sql} in ${route.database}, ${formatFreshness(route.freshness)}, paid by ${route.workspace}`,
		]),
	]) as Readonly<Record<string, string>>;
}
