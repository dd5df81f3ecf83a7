/** State of a connection to a simulated instance. */
export type InstanceConnectionState = {
	/** Idle, in a transaction, or in a failed transaction. */
	state: 'I' | 'T' | 'E';
	isReadOnly: boolean;
	/** Uncommitted writes of the open transaction. */
	writes: Array<readonly [string, string]>;
	readonly variables: Map<string, string>;
	readonly prepared: Map<string, string>;
	/** Settles once the messages received before are answered; messages are answered in order. */
	answered: Promise<void>;
};
