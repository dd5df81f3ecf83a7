/* eslint-disable camelcase -- names of the pages */

/**
 * Creates a configuration in the operator's format.
 *
 * @param options.routes For each database its service and kind.
 * @param options.keys Keys by tenant.
 */
export function createConfiguration({
	version, services, routes, tenants, maxConnections, timeoutMs = 1000, transactionIdleMs = 3000,
}) {
	return {
		version,
		routes: routes.map(({database, service, kind, maxStalenessMs}) => ({
			name: `r-${database}-${service}`, database, prefix: '/', route_type: kind, timeout_ms: timeoutMs, target_latency_ms: 400, max_attempts: 2, priority: 1, public: false, backend: service, ...maxStalenessMs === undefined ? {} : {max_staleness_ms: maxStalenessMs},
		})),
		services: services.map(name => ({
			name, max_conns: maxConnections, sync_replicas: 0,
		})),
		limits: {tx_idle_ms: transactionIdleMs},
		tenants: tenants.map(({name, keys, rate = 200, burst = 200}) => ({
			name, api_keys: keys, rate_per_s: rate, burst,
		})),
	};
}
