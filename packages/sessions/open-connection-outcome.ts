import type {InstanceConnection} from './instance-connection.ts';

/** Whether a connection could be opened. */
export type OpenConnectionOutcome =
	| {readonly kind: 'opened'; readonly connection: InstanceConnection}
	/** The instance answered and does not take the connection. */
	| {readonly kind: 'refused'; readonly code: 'moved' | 'tooManyConnections' | 'busy'}
	/** Nothing listens there: its process is gone. */
	| {readonly kind: 'absent'}
	/** No answer in time. */
	| {readonly kind: 'silent'};
