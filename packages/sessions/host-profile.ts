import type {RateBound} from './rate-bound.ts';

/** An address to listen on or to connect to. */
type Address = {
	readonly host: string;
	readonly port: number;
};

/** What a host knows of itself and of the platform when it starts. */
export type HostProfile = {
	readonly name: string;
	readonly zone: string;
	/** Whether the whole fleet starts for the first time; false at every later start of a process. */
	readonly isFirstStart: boolean;
	readonly listen: {
		/** Sessions of callers. */
		readonly callers: Address;
		/** The platform's question whether the host is ready. */
		readonly readiness: Address;
		/** Calls of other hosts, and metrics. */
		readonly hosts: Address;
		readonly metrics: Address;
	};
	readonly store: Address;
	/** Where promotions are ordered. */
	readonly promotions: Address;
	/** Milliseconds after which a withdrawn key must have stopped working everywhere. */
	readonly revocationLimitMs: number;
	/** Milliseconds after which an accepted configuration must be in force. */
	readonly configurationLimitMs: number;
	readonly rateBound: RateBound;
	/** Milliseconds from the request to stop until the process is killed. */
	readonly gracePeriodMs: number;
};
