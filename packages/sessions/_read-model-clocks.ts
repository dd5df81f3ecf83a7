import type {Instant} from './instant.ts';

/** What befalls a host of a model and its clocks; times in milliseconds of true time. */
type ClockPlan = {
	/** When the host freezes, as when its machine is suspended, and for how long. */
	readonly frozenFrom: number;
	readonly frozenFor: number;
	/** Whether the steady clock stops while the host is frozen. */
	readonly hasSteadyStop: boolean;
	/** Milliseconds by which the wall clock jumps, and when. */
	readonly wallJump: number;
	readonly jumpsAt: number;
};

/** Returns what the clocks of a host of a model show at a true time. */
export function readModelClocks(plan: ClockPlan, now: number): Instant {
	const frozen = Math.max(0, Math.min(now, plan.frozenFrom + plan.frozenFor) - plan.frozenFrom);
	return {
		steady: plan.hasSteadyStop ? now - frozen : now,
		// A host whose steady clock stops depends on its wall clock, so the model lets only one of the two fail.
		wall: now + (now >= plan.jumpsAt && !plan.hasSteadyStop ? plan.wallJump : 0),
	};
}
