import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';

/**
 * Whether the process that last changed a group's row has ended: its host has started again since, or is not registered
 * any more. A host that is marked as gone may only be unreachable, and its process may go on.
 */
export function hasHolderEnded({holder, holderIncarnation}: GroupRow, {hosts, goneHosts}: Pick<FleetRows, 'hosts' | 'goneHosts'>): boolean {
	return holderIncarnation !== undefined && !goneHosts.has(holder) && hosts.get(holder)?.incarnation !== holderIncarnation;
}
