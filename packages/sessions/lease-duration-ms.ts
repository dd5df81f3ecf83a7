/**
 * Lifetime of a lease on a primary in milliseconds, counted from when the store last confirmed the primary.
 *
 * A successor is promoted only after every host has released the old primary, or after this time has passed since the
 * fence was set.
 */
export const leaseDurationMs = 1800;
