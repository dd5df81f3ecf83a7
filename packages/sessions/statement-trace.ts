import type {JobSpans} from './job-spans.ts';

/** Phases of a statement that its host measures: those of its jobs, and the waits before them. */
type SpanName = keyof JobSpans | 'rate' | 'primary';

/** Decisions taken for a statement and the time it spent in each phase, for logs and metrics. */
export type StatementTrace = {
	readonly steps: readonly string[];
	/**
	 * Milliseconds by phase, summed over all attempts.
	 *
	 * `rate` is the wait for the workspace's share of its rate, `primary` the wait for a leased primary. The names are
	 * values of a metric label and names of log fields.
	 */
	readonly spans: ReadonlyMap<SpanName, number>;
	readonly addStep: (step: string) => void;
	readonly addSpan: (name: SpanName, span: number) => void;
	/** Adds the phases of a job. */
	readonly addJobSpans: (spans: JobSpans | undefined) => void;
};
