import process from 'node:process';
/** Something that happened in a process. Names no key and no statement text. */
export type ProcessEvent = {
	/** Hybrid logical time. */
	readonly time: bigint;
	/** Host or instance in which it happened. */
	readonly process: string;
	readonly kind: EventKind;
	readonly request?: string | undefined;
	readonly workspace?: string | undefined;
	readonly database?: string | undefined;
	/** Further particulars in a few words. */
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
