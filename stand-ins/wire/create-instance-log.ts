import {findWrite} from './find-write.ts';
import type {InstanceLog} from './instance-log.ts';
import type {LogEntry} from './log-entry.ts';

type Options = {
	readonly role: 'primary' | 'replica';
	/** Milliseconds after which a received commit is applied. */
	readonly lag: number;
	/** Called for each commit while the instance is a primary. */
	readonly onCommit: (entry: LogEntry) => void;
	/** Called when the instance begins to lead or ceases to. */
	readonly onRole: () => void;
};

/** Milliseconds for which an instance is busy after its log was rolled back. */
const rollbackMs = 100;

/** Creates the empty log of a simulated instance in term 1. */
export function createInstanceLog({role: initialRole, lag: initialLag, onCommit, onRole}: Options): InstanceLog {
	let role = initialRole;
	let lag = initialLag;
	let term = 1;
	let entries: LogEntry[] = [];
	/** Number of entries that are applied. */
	let appliedCount = 0;
	let busyUntil = 0;

	const formatPosition = (last: LogEntry | undefined) => last === undefined ? `${term}.0` : `${last.term}.${last.number}`;
	const findApplied = () => entries.slice(0, appliedCount);

	const apply = (last: LogEntry) => {
		const index = entries.lastIndexOf(last);
		appliedCount = Math.max(appliedCount, index + 1);
	};

	const rollBackTo = (count: number) => {
		if (count < entries.length) {
			entries = entries.slice(0, count);
			appliedCount = Math.min(appliedCount, count);
			busyUntil = performance.now() + rollbackMs;
		}
	};

	/** Counts the entries at the beginning that both logs hold. */
	const countShared = (other: readonly LogEntry[]) => {
		const last = entries.at(-1);
		if (last === undefined || other[entries.length - 1] === last) {
			return entries.length;
		}

		const firstOther = entries.findIndex((entry, index) => other[index] !== entry);
		return firstOther === -1 ? entries.length : firstOther;
	};

	const changeRole = (newer: 'primary' | 'replica') => {
		if (newer !== role) {
			role = newer;
			onRole();
		}
	};

	return {
		role: () => role,
		term: () => term,
		entries: () => entries,
		receivedPosition: () => formatPosition(entries.at(-1)),
		position: () => formatPosition(entries[appliedCount - 1]),
		hasPosition(position) {
			const [requiredTerm = 0, requiredNumber = 0] = position.split('.').map(Number);
			const last = entries[appliedCount - 1];
			return requiredNumber === 0 || (last !== undefined && (last.term > requiredTerm || (last.term === requiredTerm && last.number >= requiredNumber)));
		},
		readValue(item) {
			const entry = findApplied().findLast(({writes}) => findWrite(writes, item) !== undefined);
			return findWrite(entry?.writes ?? [], item)?.[1] ?? '';
		},
		isBusy: () => performance.now() < busyUntil,
		commit(writes) {
			const entry = {term, number: (entries.at(-1)?.number ?? 0) + 1, writes};
			entries.push(entry);
			appliedCount = entries.length;
			onCommit(entry);
		},
		receive(newerTerm, newer) {
			if (newerTerm < term || (newerTerm === term && role === 'primary')) {
				return;
			}

			term = newerTerm;
			changeRole('replica');
			rollBackTo(countShared(newer));
			entries.push(...newer.slice(entries.length));
			const last = entries.at(-1);
			if (last !== undefined && appliedCount < entries.length) {
				setTimeout(apply, lag, last);
			}
		},
		setLag(newer) {
			lag = newer;
		},
		promote(newerTerm) {
			term = newerTerm;
			appliedCount = entries.length;
			changeRole('primary');
		},
		clear() {
			entries = [];
			appliedCount = 0;
			term = 1;
			changeRole('replica');
		},
		stepDown(newerTerm) {
			if (newerTerm > term && role === 'primary') {
				term = newerTerm;
				changeRole('replica');
			}
		},
	};
}
