import type {LogPoint} from '@sapphirefall/decisions';

/** What a host has seen of an instance; times in steady milliseconds. */
export type InstanceHealth = {
	/** Smoothed milliseconds from request to answer. */
	readonly latency: number;
	/** When an answer last came. */
	readonly lastAnswerAt: number;
	/** When something was first sent that is not answered yet; undefined while nothing is. */
	readonly unansweredSince: number | undefined;
	/** Until when the instance is used only if no other can be. */
	readonly avoidedUntil: number;
	/** Failures without an answer between them. */
	readonly failures: number;
	/** Newest position that its log is known to hold. */
	readonly position: LogPoint | undefined;
	/** When it last said that it lacks a position, and which. */
	readonly lastLag: {readonly at: number; readonly missingPosition: LogPoint} | undefined;
};
