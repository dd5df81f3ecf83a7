/** The platform as a peer: table, object store and fleet list. */
export * from './commit-change.ts';
export type * from './commit-outcome.ts';
export type * from './configuration-head.ts';
export * from './configuration-row.ts';
export * from './create-platform-client.ts';
export * from './describe-change.ts';
export * from './parse-configuration.ts';
export * from './parse-head.ts';
export type * from './platform-client.ts';
export * from './read-configuration.ts';
