import {commitGroupRow} from './commit-group-row.ts';
import type {Failover} from './failover.ts';
import type {FailoverHold} from './failover-hold.ts';
import {findDutyRemaining} from './find-duty-remaining.ts';
import {findFenceRemaining} from './find-fence-remaining.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';
import {readDutyProof} from './read-duty-proof.ts';
import {roundIntervalMs} from './round-interval-ms.ts';
import {takeFailoverLock} from './take-failover-lock.ts';

/** Whether an order may be given now, or later, or never because another host changed the group's row. */
type OrderRight =
	| {readonly kind: 'due'; readonly held: FailoverHold}
	| {readonly kind: 'later'; readonly held: FailoverHold; readonly waitMs: number}
	| {readonly kind: 'replaced'};

/** Least milliseconds that an order needs to arrive and be answered. */
const minOrderMs = 150;

/**
 * Takes the right to order the promotion of a successor: the failover lock, if this host does not have it; the time from
 * which no other host may give an order; the successor in the group's row; and a proof that this host still runs the failover.
 */
export async function takeOrderRight(hold: FailoverHold, successor: string, failover: Failover, logStep: (line: string, fields: Readonly<Record<string, unknown>>) => void): Promise<OrderRight> {
	const {now} = failover;
	let held = hold;
	if (held.row.token === 0) {
		const taken = await takeFailoverLock(held.row, failover);
		if (taken === 'replaced') {
			logStep('Another host changed the row of the group.', {});
			return {kind: 'replaced'};
		}

		if (taken === 'inUse') {
			return {kind: 'later', held, waitMs: roundIntervalMs};
		}

		held = {row: taken.row, duty: {...held.duty, provenAt: taken.provenAt}, ordersFrom: taken.ordersFrom};
		logStep('The host took the failover lock.', {token: held.row.token});
	}

	const waitMs = Math.max(findEarlierEraRemaining(failover), held.ordersFrom - now().steady);
	if (waitMs > 0) {
		return {kind: 'later', held, waitMs};
	}

	if (held.row.successor !== successor) {
		const row = await commitGroupRow(held.row, {...held.row, successor}, failover);
		if (row === undefined) {
			return {kind: 'replaced'};
		}

		held = {...held, row};
	}

	const duty = await readDutyProof(held, failover);
	if (duty === 'replaced') {
		logStep('Another host changed the row of the group.', {});
		return {kind: 'replaced'};
	}

	if (duty === 'unlocked') {
		logStep('Another host took the failover lock.', {});
		return {kind: 'later', held: {...held, row: {...held.row, token: 0}}, waitMs: 0};
	}

	held = {...held, duty};
	return findDutyRemaining(duty, now()) < minOrderMs ? {kind: 'later', held, waitMs: roundIntervalMs} : {kind: 'due', held};
}

/**
 * Finds the milliseconds until leases of the era before have expired that hosts may hold whose registration the store has
 * lost; 0 or less when they have.
 */
function findEarlierEraRemaining({findEra, listRecentHosts, now}: Failover): number {
	const pending = [{leaseMs: leaseDurationMs}, ...listRecentHosts()];
	return findFenceRemaining({at: findEra().since, pending}, now().steady);
}
