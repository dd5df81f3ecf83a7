import type {Failover} from './failover.ts';
import type {FailoverDuty} from './failover-duty.ts';
import type {FailoverHold} from './failover-hold.ts';
import {findElapsed} from './find-elapsed.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import {isLockHeld} from './is-lock-held.ts';
import {readFleetRows} from './read-fleet-rows.ts';

/** Milliseconds after which the store is read again before an order, to prove that this host still runs the failover. */
const proofLifetimeMs = 500;

/**
 * Reads whether the store still holds the row of this failover unchanged and the lock for it, unless that was proven just now.
 *
 * @returns The right to order promotions, with the newest proof; `replaced` if another host changed the row, `unlocked` if
 * another one took the lock.
 */
export async function readDutyProof({row, duty}: Pick<FailoverHold, 'row' | 'duty'>, {group, store, now}: Failover): Promise<FailoverDuty | 'replaced' | 'unlocked'> {
	const askedAt = now();
	if (findElapsed(duty.provenAt, askedAt) <= proofLifetimeMs) {
		return duty;
	}

	const rows = await readFleetRows(store);
	if (rows === undefined) {
		return duty;
	}

	const known = rows.groups.get(group.name);
	if (known?.version !== row.version || isFromEarlierEra(known)) {
		return 'replaced';
	}

	return isLockHeld(row, rows) ? {...duty, provenAt: askedAt} : 'unlocked';
}
