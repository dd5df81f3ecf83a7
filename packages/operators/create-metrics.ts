import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Metrics} from './metrics.ts';

/** Upper bounds of the buckets of the request histogram, in seconds. */
const requestBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Creates the metrics of a host in a new registry. */
export function createMetrics(): Metrics {
	const registry = new Registry();
	const registers = [registry];
	collectDefaultMetrics({register: registry});
	return {
		registry,
		requests: new Counter({
			name: 'sapphirefall_requests_total', help: 'Requests answered, by class and result code.', labelNames: ['class', 'code'], registers,
		}),
		requestSeconds: new Histogram({
			name: 'sapphirefall_request_seconds', help: 'Seconds from arrival to answer, by class.', labelNames: ['class'], buckets: requestBucketsSeconds, registers,
		}),
		reads: new Counter({
			name: 'sapphirefall_reads_total', help: 'Reads served, by role of the instance.', labelNames: ['role'], registers,
		}),
		retries: new Counter({
			name: 'sapphirefall_retries_total', help: 'Attempts repeated on an endpoint.', registers,
		}),
		borrows: new Counter({
			name: 'sapphirefall_borrows_total', help: 'Requests for units to the home of a workspace, by place.', labelNames: ['place'], registers,
		}),
		failovers: new Counter({
			name: 'sapphirefall_failover_steps_total', help: 'Steps of failover taken by this host as a watcher.', labelNames: ['step'], registers,
		}),
		configurationVersion: new Gauge({
			name: 'sapphirefall_configuration_version', help: 'Version of the configuration in force here.', registers,
		}),
		runningRequests: new Gauge({
			name: 'sapphirefall_requests_running', help: 'Requests that run now.', registers,
		}),
	};
}
