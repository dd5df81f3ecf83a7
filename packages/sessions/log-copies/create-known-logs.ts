import {comparePoints, type LogPoint} from '@sapphirefall/decisions';
import type {Failover} from '../failover.ts';
import type {Fence} from '../fence.ts';
import type {ReportedStatus} from '../reported-status.ts';
import {hasEveryCommit} from './has-every-commit.ts';
import {isSameCopy} from './is-same-copy.ts';
import type {LogCopy} from './log-copy.ts';
import {mergeCopies} from './merge-copies.ts';
import {readAcknowledgedPoint} from './read-acknowledged-point.ts';

/** What a failover knows of the logs of a group's instances, since no host uses the replaced primary any more. */
type KnownLogs = {
	/** Records statuses. An earlier one stays known: whatever was acknowledged had been received before it was told. */
	readonly record: (answers: readonly ReportedStatus[]) => void;
	/** Lists the replicas whose logs may hold acknowledged commits and are not known, if acknowledged commits must not be lost. */
	readonly listAwaited: () => readonly string[];
	/** Asks all hosts for what they have acknowledged, if replicas are awaited and it is time to ask. */
	readonly askHosts: () => Promise<void>;
	/** Whether the promotion of an instance loses no commit that must not be lost. */
	readonly mayPromote: (successor: ReportedStatus) => boolean;
};

/** A status, and the counter of the platform's entries of the instance when the first one with an empty log arrived. */
type KnownLog = {readonly report: ReportedStatus; readonly emptySince: number | undefined};

/**
 * Entries of an instance after which a status before them came from the process that wrote them: the first one may have
 * been on its way when that process ended.
 */
const confirmingEntries = 2;

/** Milliseconds between two rounds of requests to the hosts. */
const askIntervalMs = 2000;

/**
 * Creates the knowledge of a failover about the logs of the group's instances; at first it knows none.
 *
 * An instance that is silent, or that the platform lists no more, keeps what it may alone have received. One that has started
 * again without its log tells nothing of what it had before; as the platform's list may be behind, an empty log counts only
 * once the same process has renewed its entry. If all hosts are there to tell what they have acknowledged, an instance that
 * has as much is enough, whatever the others have. One that lacks a commit that a host is known to have acknowledged is never
 * enough, whatever the others have: `newestCommit` is a position beyond which there is such a commit, if one is known.
 */
export function createKnownLogs(failover: Failover, fence: Fence, newestCommit?: LogPoint): KnownLogs {
	const {group, isSynchronous, isListFresh, now} = failover;
	const {primary, copies = []} = fence.row;
	let known: readonly LogCopy[] = copies;
	let logs: readonly KnownLog[] = [];
	/** Position at or before which all acknowledged commits are; undefined if it is not known. */
	let acknowledged: LogPoint | undefined;
	let askedAt = Number.NEGATIVE_INFINITY;

	const listReplicas = (): readonly LogCopy[] => {
		known = mergeCopies(known, group.listInstances().map(instance => instance.listed()));
		return known.filter(({id}) => id !== primary);
	};

	const isConfirmed = ({report, emptySince}: KnownLog) => {
		const listed = group.findInstance(report.id)?.listed();
		return emptySince === undefined || (listed !== undefined && isSameCopy(listed, report) && (listed.seq ?? Number.POSITIVE_INFINITY) >= emptySince + confirmingEntries);
	};

	const add = (report: ReportedStatus) => {
		const earlier = logs.find(log => isSameCopy(log.report, report));
		const isEmpty = report.status.received.position === 0n;
		const isBehind = earlier !== undefined && comparePoints(report.status.received, earlier.report.status.received) < 0;
		if (isBehind) {
			return;
		}

		const seq = group.findInstance(report.id)?.listed().seq ?? 0;
		const added = {report, emptySince: isEmpty ? earlier?.emptySince ?? seq : undefined};
		logs = [...logs.filter(log => log !== earlier), added];
	};

	const listConfirmed = () => logs.filter(log => isConfirmed(log)).map(({report}) => report);

	const listAwaited = () => {
		const confirmed = listConfirmed();
		return isSynchronous() ? listReplicas().filter(copy => !confirmed.some(report => isSameCopy(report, copy))).map(({id}) => id) : [];
	};

	/** Whether the primary has started again, so that hosts may know its log from then on only. */
	const hasPrimaryRestarted = () => copies.some(copy => copy.id === primary && known.some(other => other.id === primary && !isSameCopy(copy, other)));

	const hasEachCommit = (successor: ReportedStatus) => {
		const hasAcknowledged = acknowledged !== undefined && comparePoints(successor.status.received, acknowledged) >= 0;
		return hasAcknowledged || (isListFresh() && hasEveryCommit(successor, {statuses: listConfirmed(), primary, replicas: listReplicas()}));
	};

	const lacksCommit = ({status}: ReportedStatus) => newestCommit !== undefined && comparePoints(status.received, newestCommit) <= 0;

	return {
		record(answers) {
			for (const answer of answers) {
				add(answer);
			}
		},
		listAwaited,
		async askHosts() {
			const at = now().steady;
			if (acknowledged === undefined && at - askedAt >= askIntervalMs && listAwaited().length > 0 && !hasPrimaryRestarted()) {
				askedAt = at;
				acknowledged = await readAcknowledgedPoint(fence, failover);
			}
		},
		mayPromote: successor => !isSynchronous() || (!lacksCommit(successor) && hasEachCommit(successor)),
	};
}
