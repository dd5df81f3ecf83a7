/** Classes of requests: writes, and reads by freshness. They differ in cost and in how their answers are checked. */
export const loadClasses = ['write', 'latest', 'session', 'within'] as const;
