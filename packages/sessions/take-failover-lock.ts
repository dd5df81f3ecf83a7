import {createLockChange} from './create-lock-change.ts';
import type {Failover} from './failover.ts';
import {findLockUser} from './find-lock-user.ts';
import {findOrderStart} from './find-order-start.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import type {Instant} from './instant.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import {isLockHeld} from './is-lock-held.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Versioned} from './versioned.ts';

/** The failover lock in the hands of this host. */
type TakenLock = {
	readonly row: Versioned<GroupRow>;
	/** Latest moment as of which the store is known to hold the lock and the row. */
	readonly provenAt: Instant;
	/** Milliseconds of the steady clock before which the host that used the lock may still order a promotion. */
	readonly ordersFrom: number;
};

/**
 * Takes the failover lock for a group that this host has fenced without it, or from which another host has taken it.
 *
 * @returns `inUse` while another host uses the lock or the store does not answer, `replaced` if another host changed the row.
 */
export async function takeFailoverLock(row: Versioned<GroupRow>, failover: Failover): Promise<TakenLock | 'inUse' | 'replaced'> {
	const {group, self, store, now, isHostSilent} = failover;
	const rows = await readFleetRows(store);
	if (rows === undefined) {
		return 'inUse';
	}

	const known = findOwnRow(rows, row, group.name);
	if (known === undefined) {
		return 'replaced';
	}

	const user = findLockUser(rows, failover);
	if (user !== undefined && !await isHostSilent(user)) {
		return 'inUse';
	}

	// An earlier attempt without an answer may have been applied only now, in which the lock was taken from whichever host.
	const formerUser = isLockHeld(known, rows) ? self : user;
	await store.commit(createLockChange(group.name, known, rows));
	const provenAt = now();
	const after = await readFleetRows(store);
	const taken = after && findOwnRow(after, row, group.name);
	return after !== undefined && taken !== undefined && isLockHeld(taken, after)
		? {row: taken, provenAt, ordersFrom: findOrderStart(formerUser, rows, now().steady)}
		: 'inUse';
}

/** Finds the row as the store has it; undefined if it is not that of this host's fence any more. */
function findOwnRow({groups}: FleetRows, {epoch, holder}: GroupRow, group: string): Versioned<GroupRow> | undefined {
	const known = groups.get(group);
	return known?.epoch === epoch && known.holder === holder && known.state === 'fencing' && !isFromEarlierEra(known) ? known : undefined;
}
