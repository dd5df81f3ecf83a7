import type {LogPoint} from '@sapphirefall/decisions';

/** What a host has observed of an instance; times are in milliseconds of the steady clock. */
export type InstanceHealth = {
	/** Moving average of the milliseconds from request to answer. */
	readonly latency: number;
	/** Whether the instance has answered since the host has used it. */
	readonly hasAnswered: boolean;
	/** When the last answer arrived. */
	readonly lastAnswerAt: number;
	/** When the first request was sent since the last answer; undefined when no request is unanswered. */
	readonly unansweredSince: number | undefined;
	/** Until when the instance is used only if no other is available. */
	readonly avoidedUntil: number;
	/** Number of failures since the last answer. */
	readonly failures: number;
	/** Newest position that the instance's log is known to contain. */
	readonly position: LogPoint | undefined;
	/** When the instance last reported that it lacks a position, and which. */
	readonly lastLag: {readonly at: number; readonly missingPosition: LogPoint} | undefined;
};
