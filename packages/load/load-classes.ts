/** Classes of requests, which differ in cost and in what is checked. */
export const loadClasses = ['write', 'latest', 'session', 'within'] as const;
