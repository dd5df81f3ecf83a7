import type {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** The metrics of a host. */
export type Metrics = {
	readonly registry: Registry;
	readonly requests: Counter;
	readonly requestSeconds: Histogram;
	readonly reads: Counter;
	readonly retries: Counter;
	readonly borrows: Counter;
	readonly failovers: Counter;
	readonly configurationVersion: Gauge;
	readonly runningRequests: Gauge;
};
