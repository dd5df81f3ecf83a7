import type {JobSpans} from './job-spans.ts';
import type {StatementTrace} from './statement-trace.ts';

/**
 * Finds the milliseconds that a span counts for. A gateway measures its part of a job by a clock of its own, so that the rest,
 * or what another version tells, may be negative or no number; it counts for nothing then, as a counter takes no such value.
 */
function findCounted(span: number): number {
	return Number.isFinite(span) ? Math.max(0, span) : 0;
}

/** Creates an empty trace. */
export function createStatementTrace(): StatementTrace {
	const steps: string[] = [];
	const spans = new Map<Parameters<StatementTrace['addSpan']>[0], number>();
	const addSpan: StatementTrace['addSpan'] = (name, span) => {
		spans.set(name, (spans.get(name) ?? 0) + findCounted(span));
	};

	return {
		steps,
		spans,
		addStep(step) {
			steps.push(step);
		},
		addSpan,
		addJobSpans(job) {
			if (job === undefined) {
				return;
			}

			for (const name of Object.keys(job) as ReadonlyArray<keyof JobSpans>) {
				addSpan(name, job[name]);
			}
		},
	};
}
