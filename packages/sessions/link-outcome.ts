import type {InstanceLink} from './instance-link.ts';

/** Whether a connection could be opened. */
export type LinkOutcome =
	| {readonly kind: 'opened'; readonly link: InstanceLink}
	/** The instance answered and does not take the connection. */
	| {readonly kind: 'refused'; readonly code: 'moved' | 'tooManyConnections' | 'busy'}
	/** Nothing listens there: its process is gone. */
	| {readonly kind: 'absent'}
	/** No answer in time. */
	| {readonly kind: 'silent'};
