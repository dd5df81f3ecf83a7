import {loadClasses} from './load-classes.ts';
import type {LoadSummary} from './load-summary.ts';

const percent = 100;

/** Formats the measurements of a load as text. */
export function formatSummary(summary: LoadSummary): string {
	const formatShare = (value: number) => `${(value * percent).toFixed(2)} %`;
	return [
		`requests            ${summary.requests}, done ${summary.done}`,
		`reads by replicas   ${formatShare(summary.replicaShare)}`,
		`longest write gap   ${summary.writeGapMs.toFixed(0)} ms`,
		`worst workspace     ${summary.worstWorkspaceName}, ${formatShare(summary.worstWorkspace)} of its due`,
		`wrongful refusals   ${formatShare(summary.wrongfulRefusals)}`,
		...loadClasses.map(name => {
			const {p50, p99, max} = summary.latency[name];
			return `latency ${name.padEnd(11)} p50 ${p50.toFixed(1)}, p99 ${p99.toFixed(1)}, max ${max.toFixed(1)} ms`;
		}),
		`result codes        ${Object.entries(summary.codes).map(([code, count]) => `${code}: ${count}`).join(', ')}`,
		`wrong answers       ${summary.violations.length}`,
		...summary.violations.slice(0, 10).map(({kind, request, detail}) => `  ${kind} ${request}: ${detail}`),
	].join('\n');
}
