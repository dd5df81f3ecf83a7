import process from 'node:process';
/** An event of a process. Must not contain keys or statement texts. */
export type ProcessEvent = {
	/** Hybrid logical time. */
	readonly time: bigint;
	/** Host or instance that emitted the event. */
	readonly process: string;
	readonly kind: EventKind;
	readonly request?: string | undefined;
	readonly workspace?: string | undefined;
	readonly database?: string | undefined;
	/** Further details in a few words. */
	readonly detail?: string | undefined;
};

type EventKind =
	| 'process-started'
	| 'process-draining'
	| 'process-stopped'
	| 'request-admitted'
	| 'request-answered'
	| 'attempt-failed'
	| 'primary-known'
	| 'failover-step'
	| 'configuration-in-force'
	| 'change-committed'
	| 'change-refused'
	| 'role-changed'
	| 'row-written';
