import type {JobSpans} from './job-spans.ts';
import type {StatementTrace} from './statement-trace.ts';

/** Creates an empty trace. */
export function createStatementTrace(): StatementTrace {
	const steps: string[] = [];
	const spans = new Map<Parameters<StatementTrace['addSpan']>[0], number>();
	const addSpan: StatementTrace['addSpan'] = (name, span) => {
		spans.set(name, (spans.get(name) ?? 0) + span);
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
