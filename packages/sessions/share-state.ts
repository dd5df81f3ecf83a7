import type {Instant} from './instant.ts';

/** A host's share of a workspace's rate. */
export type ShareState = {
	/** Operations a second that the home granted. */
	readonly rate: number;
	/** When the share was asked for. */
	readonly requestedAt: Instant;
	/** Milliseconds for which it holds from then. */
	readonly spanMs: number;
	/** Operations that may run now. */
	readonly tokens: number;
	/** Steady milliseconds when the level was last brought up to date. */
	readonly refilledAt: number;
	/** Operations a second that callers ask for, smoothed. */
	readonly demand: number;
	/** Steady milliseconds when the demand was last brought up to date. */
	readonly demandAt: number;
};
