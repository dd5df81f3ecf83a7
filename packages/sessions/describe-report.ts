import type {ReportedStatus} from './reported-status.ts';

/** Describes the status of an instance for the log: its role, the newest term that it knows, and the end of its log. */
export function describeReport({id, status: {role, term, received}}: ReportedStatus): string {
	return `${id} ${role} ${term} ${received.term}.${received.position}`;
}
