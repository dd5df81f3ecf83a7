import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import {chooseSuccessor} from './choose-successor.ts';
import type {GroupRow} from './group-row.ts';
import type {PromotionOrder} from './promotion-order.ts';
import type {ReportedStatus} from './reported-status.ts';

type Options = {
	readonly row: GroupRow;
	/** Instance that is replaced. */
	readonly primary: string;
	/** End of the log that the successor should have; undefined if it is not known, or the primary cannot stay without one. */
	readonly wantedLog: LogPoint | undefined;
	/**
	 * Whether an instance that knows the term of the replaced primary, and one outside of the evacuated zones that has the
	 * wanted log, are still waited for.
	 */
	readonly isSuccessorAwaited: boolean;
	/** Whether the promotion of an instance loses no commit that must not be lost. */
	readonly mayPromote: (candidate: ReportedStatus) => boolean;
	/** Last order of this host; undefined if it gave none, or it was refused. */
	readonly ordered: PromotionOrder | undefined;
	/** Instance whose promotion was last ordered and not refused, by any host; empty if there is none. */
	readonly promoting: string;
	/** When that promotion has taken effect or never will; undefined if none was ordered. */
	readonly settledAt: number | undefined;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds after which a promotion order is repeated that has shown no effect. */
const orderIntervalMs = 1500;

/** Finds the instance whose promotion a host orders now in a failover; undefined if it waits. */
export function findDueSuccessor(answers: readonly ReportedStatus[], {
	row, primary, wantedLog, isSuccessorAwaited, mayPromote, ordered, promoting, settledAt, now,
}: Options): ReportedStatus | undefined {
	const candidates = answers.filter(({id}) => id !== primary);
	const successor = candidates.find(({id}) => id === row.successor) ?? chooseSuccessor(candidates, mayPromote);
	if (successor === undefined || (ordered?.instance === successor.id && now - ordered.at < orderIntervalMs)) {
		return undefined;
	}

	const isBehind = wantedLog !== undefined && comparePoints(successor.status.received, wantedLog) < 0;
	const isPoor = successor.isEvacuated || isBehind || successor.status.term < (row.term ?? 0);
	if (row.successor === '' && isPoor && isSuccessorAwaited) {
		return undefined;
	}

	// The last promotion that takes effect decides who leads, and an order may take effect after a later one.
	const isOtherPending = successor.id !== promoting && settledAt !== undefined && now < settledAt;
	return isOtherPending ? undefined : successor;
}
