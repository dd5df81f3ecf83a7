import type {Job} from './job.ts';

/** Whether a job may run again elsewhere when its answer is lost; nothing is kept of a transaction that was only begun. */
export function isRetryable(job: Job): boolean {
	return job.kind === 'position' || job.kind === 'begin' || (job.kind === 'single' && job.query.access === 'read');
}
