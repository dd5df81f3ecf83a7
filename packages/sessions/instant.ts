/**
 * A moment on both clocks of a host, in milliseconds.
 *
 * The steady clock may stand still while the host is suspended, and the wall clock may jump; see `findElapsed`.
 */
export type Instant = {
	readonly steady: number;
	readonly wall: number;
};
