/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
type Options = {
	readonly version: number;
	/** Keys of workspace "upper", and the key "other" of workspace "lower". */
	readonly keys: readonly string[];
	/** Whether a fourth database, "guest", has a route. */
	readonly hasGuestRoute: boolean;
	/** Connections that an instance accepts. */
	readonly connectionLimit: number;
	/** Operations a second of each workspace, and its burst. */
	readonly ratePerSecond: number;
	/** Groups, each with its databases; the names of those of all but the first one end with the number of the group. */
	readonly groups: readonly string[];
	/** Further fields of each group. */
	readonly serviceFields?: object;
	/** Further fields of the routes, by database. */
	readonly routeFields?: Readonly<Record<string, object>>;
};

/** Creates a version of the operators' configuration as the platform's store holds it. */
export function createWireConfiguration({
	version, keys, hasGuestRoute, connectionLimit, ratePerSecond, groups, serviceFields = {}, routeFields = {},
}: Options): object {
	return {
		version,
		routes: groups.flatMap((group, index) => createRoutes(group, {suffix: index === 0 ? '' : `-${index + 1}`, hasGuestRoute, routeFields})),
		services: groups.map(name => ({
			name, max_conns: connectionLimit, sync_replicas: 0, ...serviceFields,
		})),
		limits: {tx_idle_ms: 3000},
		tenants: [
			{
				name: 'upper', api_keys: keys.filter(key => key !== 'other'), rate_per_s: ratePerSecond, burst: ratePerSecond,
			},
			{
				name: 'lower', api_keys: keys.filter(key => key === 'other'), rate_per_s: ratePerSecond, burst: ratePerSecond,
			},
		],
	};
}

type RouteOptions = Required<Pick<Options, 'hasGuestRoute' | 'routeFields'>> & {readonly suffix: string};

function createRoutes(group: string, {suffix, hasGuestRoute, routeFields}: RouteOptions): readonly object[] {
	const route = {
		prefix: '/', timeout_ms: 1500, target_latency_ms: 200, priority: 1, backend: group, max_attempts: 2, public: false,
	};
	const routes = [
		{
			...route, name: 'r1', database: 'latest', route_type: 'primary',
		},
		{
			...route, name: 'r2', database: 'old', route_type: 'bounded_staleness', max_staleness_ms: 1500,
		},
		{
			...route, name: 'r3', database: 'own', route_type: 'read_your_writes', max_staleness_ms: 2500,
		},
		...hasGuestRoute
			? [{
				...route, name: 'r4', database: 'guest', route_type: 'primary',
			}]
			: [],
	];
	return routes.map(({name, database, ...rest}) => ({
		...rest, ...routeFields[database], name: `${name}${suffix}`, database: `${database}${suffix}`,
	}));
}
