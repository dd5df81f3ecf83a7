import {adoptPrimary} from './adopt-primary.ts';
import {comparePoints} from './compare-points.ts';
import {countMajority} from './count-majority.ts';
import {isCovered} from './is-covered.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceReport} from './instance-report.ts';
import type {InstanceView} from './instance-view.ts';
import type {LogPoint} from './log-point.ts';
import type {TermProof} from './term-proof.ts';

/** Time after which proofs are dropped; no read accepts data that old without asking the primary. */
const proofRetentionMs = 120_000;

/** Least time between two proofs that are kept. */
const minProofIntervalMs = 50;

/**
 * Applies an instance's answer to a probe.
 *
 * Updates the primary, the newest proof that a majority is in the term, and the highest acknowledged point.
 *
 * @param view The view so far.
 * @param options The report, and when its probe was sent and answered, in monotonic milliseconds.
 */
export function applyReport(
	view: GroupView,
	options: {readonly report: InstanceReport; readonly sentAt: number; readonly now: number},
): GroupView {
	const {report, sentAt, now} = options;
	const known = view.instances.get(report.instance);
	if (known !== undefined && known.sentAt > sentAt) {
		return view;
	}

	const instances = new Map(view.instances);
	const isSame = known?.report.term === report.term && known.report.role === report.role;
	instances.set(report.instance, {
		report, sentAt, answeredAt: now, changedAt: isSame ? known.changedAt : now,
	});
	const updated = {...view, instances};
	const adopted = report.role === 'primary'
		? adoptPrimary(updated, {database: view.group.database, term: report.term, instance: report.instance})
		: updated;
	const proof = findTermProof(adopted);
	return {
		...adopted,
		proof: chooseNewerProof(adopted.proof, proof),
		recentProofs: extendRecentProofs(adopted.recentProofs, proof, now),
		acknowledged: findAcknowledgedPoint(adopted),
	};
}

/** Lists the instances that take part in the view's term, by their newest reports; fenced ones do not. */
function listTermMembers(view: GroupView): readonly InstanceView[] {
	return [...view.instances.values()]
		.filter(({report}) => report.term === view.term && report.role !== 'fenced');
}

/** Finds the proof that the newest reports give; `undefined` unless a majority that includes the primary is in the term. */
function findTermProof(view: GroupView): TermProof | undefined {
	const primary = view.primary === undefined ? undefined : view.instances.get(view.primary);
	if (primary?.report.role !== 'primary' || primary.report.point.term !== view.term) {
		return undefined;
	}

	const others = listTermMembers(view)
		.filter(member => member !== primary)
		.map(member => member.sentAt)
		.toSorted((a, b) => b - a);
	const needed = countMajority(view.group) - 1;
	if (others.length < needed) {
		return undefined;
	}

	const since = Math.min(primary.sentAt, ...others.slice(0, needed));
	return {term: view.term, point: primary.report.point, since};
}

function chooseNewerProof(old: TermProof | undefined, found: TermProof | undefined): TermProof | undefined {
	if (old === undefined || (found !== undefined && found.since > old.since)) {
		return found;
	}

	return old;
}

function extendRecentProofs(
	proofs: readonly TermProof[],
	proof: TermProof | undefined,
	now: number,
): readonly TermProof[] {
	const last = proofs.at(-1);
	if (proof === undefined || (last !== undefined && proof.since < last.since + minProofIntervalMs)) {
		return proofs;
	}

	const oldest = now - proofRetentionMs;
	const first = proofs.findIndex(kept => kept.since >= oldest);
	return [...(first === -1 ? [] : proofs.slice(first)), proof];
}

/** Finds the highest log point of the term that a majority of instances has applied. */
function findAcknowledgedPoint(view: GroupView): LogPoint | undefined {
	const points = listTermMembers(view)
		.map(({report}) => report.point)
		.filter(point => point.term === view.term)
		.toSorted((a, b) => comparePoints(b, a));
	const found = points[countMajority(view.group) - 1];
	if (found === undefined) {
		return view.acknowledged;
	}

	return view.acknowledged !== undefined && isCovered(found, view.acknowledged) ? view.acknowledged : found;
}
