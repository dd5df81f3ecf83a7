import type {Job} from '../job.ts';
import type {SessionSetup} from '../session-setup.ts';

/** Finds the bytes of what callers have sent that a job carries. */
export function findJobBytes(job: Job): number {
	const queryBytes = 'query' in job ? job.query.text.length : 0;
	return queryBytes + ('setup' in job ? countSetupBytes(job.setup) : 0);
}

function countSetupBytes(setup: SessionSetup | undefined): number {
	let bytes = 0;
	for (const [name, value] of setup?.variables ?? []) {
		bytes += name.length + value.length;
	}

	return bytes;
}
