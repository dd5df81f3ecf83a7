/** Lifetime of a permit in milliseconds: long enough for the answer of the allocator and the setup of a connection. */
export const permitLifetimeMs = 400;
