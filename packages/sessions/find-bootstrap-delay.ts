import {rankHosts} from '@sapphirefall/decisions';
import {bootstrapSettleMs} from './bootstrap-settle-ms.ts';
import {bootstrapStaggerMs} from './bootstrap-stagger-ms.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	/** Names of the registered hosts. */
	readonly hosts: readonly string[];
};

/** Finds the milliseconds for which this host lets others store a group's first primary. */
export function findBootstrapDelay(group: string, {self, hosts}: Options): number {
	const rank = rankHosts(`first/${group}`, hosts).indexOf(self);
	return bootstrapSettleMs + (Math.max(0, rank) * bootstrapStaggerMs);
}
