import {addPositionSample} from './add-position-sample.ts';
import {findElapsed} from './find-elapsed.ts';
import {findRequiredPosition} from './find-required-position.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {addCommitMark} from './log-copies/add-commit-mark.ts';
import {addLogMark} from './log-copies/add-log-mark.ts';
import type {CommitMark} from './log-copies/commit-mark.ts';
import type {LogMark} from './log-copies/log-mark.ts';
import type {Instant} from './instant.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import {isPositionSampleDue} from './is-position-sample-due.ts';
import type {PositionSample} from './position-sample.ts';
import type {PrimaryView} from './primary-view.ts';
import type {SessionGroup} from './session-group.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Name of the group. */
	readonly group: string;
	/** Finds the store's row about the primary, as this host last read it. */
	readonly findRow: () => Versioned<GroupRow> | undefined;
	/** Finds whether the primary may be used now. */
	readonly findPrimary: () => PrimaryView;
	readonly findInstance: (id: string) => Pick<InstanceRuntime, 'run'> | undefined;
	/** Whether this host reads the store directly, and passes the primary's log position on to other hosts. */
	readonly isStoreReader: () => boolean;
	/** Finds a workspace on whose behalf the primary's position may be queried. */
	readonly findWorkspace: () => string | undefined;
	readonly now: () => Instant;
};

/** Samples of the position of a primary's log; see `SessionGroup` for all but `step`. */
type PositionSampler = Pick<SessionGroup, 'findRequiredPosition' | 'recordAnswer' | 'findNewestPosition' | 'recordPosition' | 'recordCommit' | 'findLogMark' | 'findCommitMark'> & {
	/** Queries the position of the primary if a sample is due and no query is in flight. */
	readonly step: () => Promise<void>;
};

/** Time for which positions are kept up to date after a caller last requested a read from a replica. */
const samplingPeriodMs = 5000;

/** Creates the samples of the position of a primary's log; there are none at first. */
export function createPositionSampler({
	group, findRow, findPrimary, findInstance, isStoreReader, findWorkspace, now,
}: Options): PositionSampler {
	let samples: readonly PositionSample[] = [];
	let logMark: LogMark | undefined;
	let commitMark: CommitMark | undefined;
	/** Whether a position query is in flight. */
	let isSampling = false;
	/** When a caller last requested a read that a replica may serve, in milliseconds of the steady clock. */
	let replicaReadAt = Number.NEGATIVE_INFINITY;

	/** Finds the row if it may name the present primary: it is not being replaced, and was written in the present era of the store. */
	const findServingRow = () => {
		const row = findRow();
		return row?.state === 'serving' && !isFromEarlierEra(row) ? row : undefined;
	};

	const addSample = (sample: PositionSample) => {
		samples = addPositionSample(samples, sample);
		logMark = addLogMark(logMark, sample);
	};

	const recordAnswer: PositionSampler['recordAnswer'] = (instance, answer, request) => {
		const row = findServingRow();
		const isSample = answer.kind === 'answered' && instance === row?.primary && request.epoch === row.epoch;
		if (isSample && answer.position !== undefined) {
			addSample({requestedAt: request.at, position: answer.position, epoch: request.epoch});
		}
	};

	/** Queries the position of the primary and records it. */
	const sample = async () => {
		const view = findPrimary();
		const instance = view.kind === 'leased' ? findInstance(view.instance) : undefined;
		const workspace = findWorkspace();
		if (view.kind !== 'leased' || instance === undefined || workspace === undefined) {
			return;
		}

		const at = now();
		const {answer} = await instance.run({kind: 'position', workspace}, () => true);
		if (answer.kind !== 'notSent') {
			recordAnswer(view.instance, answer, {at, epoch: view.epoch});
		}
	};

	const isDue = () => {
		const last = samples.findLast(({epoch}) => epoch === findRow()?.epoch);
		const at = now();
		return isPositionSampleDue({
			age: last === undefined ? Number.POSITIVE_INFINITY : findElapsed(last.requestedAt, at),
			isStoreReader: isStoreReader(),
			hasReplicaReads: at.steady - replicaReadAt < samplingPeriodMs,
			now: at.steady,
		});
	};

	return {
		findRequiredPosition(read) {
			replicaReadAt = now().steady;
			return findRequiredPosition({samples, ...read});
		},
		recordAnswer,
		findNewestPosition() {
			const newest = samples.at(-1);
			return newest && {
				group, epoch: newest.epoch, position: newest.position, age: findElapsed(newest.requestedAt, now()),
			};
		},
		recordPosition({epoch, position, age}, from) {
			if (epoch === findServingRow()?.epoch) {
				addSample({requestedAt: {steady: from.steady - age, wall: from.wall - age}, position, epoch});
			}
		},
		recordCommit(epoch, known) {
			if (known?.epoch === epoch) {
				commitMark = addCommitMark(commitMark, {epoch, after: known.position});
			}
		},
		findLogMark: () => logMark,
		findCommitMark: () => commitMark,
		async step() {
			if (isSampling || !isDue()) {
				return;
			}

			isSampling = true;
			try {
				await sample();
			} finally {
				isSampling = false;
			}
		},
	};
}
