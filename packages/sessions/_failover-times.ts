/** Times of the simulated failovers in milliseconds. */
export const failoverTimes = {
	/** After which a connection to an instance in a zone that is cut off is given up. */
	unreachableAfterMs: 400,
	/** After which a promotion takes effect whose order was lost on the way back. */
	lateEffectMs: 800,
	/** After which an instance answers that does not at first. */
	firstMs: 700,
	/** After which the platform does not list an instance any more that is gone. */
	goneAfterMs: 1800,
	/** For which a host is suspended. */
	suspendedMs: 6000,
};
