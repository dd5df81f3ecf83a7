import type {InstanceConnection} from './instance-connection.ts';

/** The outcome of opening a connection to an instance. */
export type OpenConnectionOutcome =
	| {readonly kind: 'opened'; readonly connection: InstanceConnection}
	/** The instance answered and refused the connection. */
	| {readonly kind: 'refused'; readonly code: 'moved' | 'tooManyConnections' | 'busy'}
	/** The network refused the connection: no process listens at the address. */
	| {readonly kind: 'notListening'}
	/** The instance did not answer in time, or the connection broke before it did. */
	| {readonly kind: 'unanswered'};
