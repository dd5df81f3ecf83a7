/**
 * Milliseconds after which another host takes over a failover, counted from when that host first saw the fence. The host
 * that set the fence orders nothing any more by then; see `findDutyRemaining`.
 */
export const takeoverLimitMs = 5000;
