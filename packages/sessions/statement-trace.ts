import type {JobSpans} from './job-spans.ts';

/** Parts of a statement's time that its host knows: those of its jobs, and what came before them. */
type SpanName = keyof JobSpans | 'rate' | 'primary';

/** What was decided for a statement, and where its time went; for logs and metrics. */
export type StatementTrace = {
	readonly steps: readonly string[];
	/**
	 * Milliseconds by part: `rate` is the wait for the workspace's share, `primary` that for a usable primary.
	 *
	 * Parts add up over several tries.
	 */
	readonly spans: ReadonlyMap<SpanName, number>;
	readonly addStep: (step: string) => void;
	readonly addSpan: (name: SpanName, span: number) => void;
	/** Adds the parts of a job. */
	readonly addJobSpans: (spans: JobSpans | undefined) => void;
};
