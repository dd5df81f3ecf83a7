import type {Job} from './job.ts';

/**
 * Whether a job may be retried elsewhere after its answer was lost.
 *
 * `begin` qualifies, because a transaction without a commit has no effect.
 */
export function isRetryable(job: Job): boolean {
	return job.kind === 'position' || job.kind === 'begin' || (job.kind === 'single' && job.query.access === 'read');
}
