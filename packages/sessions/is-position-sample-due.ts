import {confirmIntervalMs} from './confirm-interval-ms.ts';

type Options = {
	/** Milliseconds since the newest known sample was requested from the primary, by this or another host. */
	readonly age: number;
	/** Whether this host reads the store and reports positions to other hosts along with the rows. */
	readonly isStoreReader: boolean;
	/** Whether callers recently sent reads that replicas may serve. */
	readonly hasReplicaReads: boolean;
	/** Current time in milliseconds of the steady clock. */
	readonly now: number;
};

/** Longest interval between samples in milliseconds on a host that reports positions. */
const storeReaderIntervalMs = 500;

/** Fraction of the interval between confirmations of the store after which a host that reports positions takes a fresh sample for the next report. */
const preReportFraction = 0.8;

/** Smallest age in milliseconds at which the last sample is replaced before a report, so that each report takes only one sample. */
const preReportMinAgeMs = 250;

/** Milliseconds without a reported sample after which a receiving host asks the primary; slightly less than the staleness of reads. */
const receiverIntervalMs = 1300;

/** Whether the host asks the primary for its log position now. */
export function isPositionSampleDue({age, isStoreReader, hasReplicaReads, now}: Options): boolean {
	if (!isStoreReader) {
		return hasReplicaReads && age >= receiverIntervalMs;
	}

	const isReportDue = now % confirmIntervalMs >= preReportFraction * confirmIntervalMs;
	return age >= storeReaderIntervalMs || (isReportDue && age >= preReportMinAgeMs);
}
