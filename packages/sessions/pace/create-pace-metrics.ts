import {Counter, Gauge, type Registry} from 'prom-client';
import type {InstancePace} from './instance-pace.ts';

/**
 * Adds the metrics of the instances' paces to a registry; they are read when the metrics are.
 *
 * @param listPaces Lists the instances at which this host has had statements in progress.
 */
export function createPaceMetrics(registry: Registry, listPaces: () => readonly InstancePace[]): void {
	const registers = [registry];
	const statements = new Gauge({
		name: 'sapphirefall_instance_statements',
		help: 'Statements of this host at an instance: in progress, waiting, and the limit of those in progress.',
		labelNames: ['instance', 'state'],
		registers,
		collect() {
			statements.reset();
			for (const {instance, inProgress, waiting, limit} of listPaces()) {
				statements.set({instance, state: 'inProgress'}, inProgress);
				statements.set({instance, state: 'waiting'}, waiting);
				statements.set({instance, state: 'limit'}, limit);
			}
		},
	});
	const falls = new Counter({
		name: 'sapphirefall_instance_limit_falls_total',
		help: 'Falls of the limit of statements in progress at an instance, by cause.',
		labelNames: ['instance', 'cause'],
		registers,
		collect() {
			falls.reset();
			for (const {instance, falls: {latency, busy, failed}} of listPaces()) {
				falls.inc({instance, cause: 'latency'}, latency);
				falls.inc({instance, cause: 'busy'}, busy);
				falls.inc({instance, cause: 'failed'}, failed);
			}
		},
	});
}
