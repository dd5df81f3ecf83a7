/** Names of the regions in which statements may run; undefined if there is no restriction. An empty set allows no region. */
export type AllowedRegions = ReadonlySet<string> | undefined;
