import {adoptPrimary} from './adopt-primary.ts';
import {comparePoints} from './compare-points.ts';
import {countMajority} from './count-majority.ts';
import {isCovered} from './is-covered.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceReport} from './instance-report.ts';
import type {InstanceView} from './instance-view.ts';
import type {LogPoint} from './log-point.ts';
import type {TermProof} from './term-proof.ts';

/** Proofs older than this, in milliseconds, are dropped: no read accepts data that old without asking the primary. */
const historySpan = 120_000;

/** Least milliseconds between two proofs kept in the history. */
const historyStep = 50;

/**
 * Applies an instance's answer to a probe.
 *
 * Derives the primary, the newest proof that a majority holds the term, and the highest acknowledged point.
 *
 * @param view The view so far.
 * @param options The report, and when its probe left and was answered in monotonic milliseconds.
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
	const heard = {...view, instances};
	const adopted = report.role === 'primary'
		? adoptPrimary(heard, {database: view.group.database, term: report.term, instance: report.instance})
		: heard;
	const proof = findProof(adopted);
	return {
		...adopted,
		proof: chooseNewer(adopted.proof, proof),
		recentProofs: extendHistory(adopted.recentProofs, proof, now),
		acknowledged: findAcknowledged(adopted),
	};
}

/** Lists the instances whose newest report is of the view's term and that take part in it. */
function listMembers(view: GroupView): readonly InstanceView[] {
	return [...view.instances.values()]
		.filter(({report}) => report.term === view.term && report.role !== 'fenced');
}

/** Finds the proof that the newest reports give, if a majority with the primary holds the term. */
function findProof(view: GroupView): TermProof | undefined {
	const primary = view.primary === undefined ? undefined : view.instances.get(view.primary);
	if (primary?.report.role !== 'primary' || primary.report.at.term !== view.term) {
		return undefined;
	}

	const others = listMembers(view)
		.filter(member => member !== primary)
		.map(member => member.sentAt)
		.toSorted((a, b) => b - a);
	const needed = countMajority(view.group) - 1;
	if (others.length < needed) {
		return undefined;
	}

	const since = Math.min(primary.sentAt, ...others.slice(0, needed));
	return {term: view.term, point: primary.report.at, since};
}

function chooseNewer(old: TermProof | undefined, found: TermProof | undefined): TermProof | undefined {
	if (old === undefined || (found !== undefined && found.since > old.since)) {
		return found;
	}

	return old;
}

function extendHistory(
	history: readonly TermProof[],
	proof: TermProof | undefined,
	now: number,
): readonly TermProof[] {
	const last = history.at(-1);
	if (proof === undefined || (last !== undefined && proof.since < last.since + historyStep)) {
		return history;
	}

	const oldest = now - historySpan;
	const first = history.findIndex(kept => kept.since >= oldest);
	return [...(first === -1 ? [] : history.slice(first)), proof];
}

/** Finds the highest point of the term that a majority of instances holds. */
function findAcknowledged(view: GroupView): LogPoint | undefined {
	const points = listMembers(view)
		.map(({report}) => report.at)
		.filter(at => at.term === view.term)
		.toSorted((a, b) => comparePoints(b, a));
	const found = points[countMajority(view.group) - 1];
	if (found === undefined) {
		return view.acknowledged;
	}

	return view.acknowledged !== undefined && isCovered(found, view.acknowledged) ? view.acknowledged : found;
}
