/**
 * A moment as read from both clocks of a host, in milliseconds.
 *
 * The steady (monotonic) clock may stop while the host is suspended, and the wall clock may jump; see `findElapsed`.
 */
export type Instant = {
	readonly steady: number;
	readonly wall: number;
};
