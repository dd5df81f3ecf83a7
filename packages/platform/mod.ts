/** The platform as a peer: table, object store and fleet list. */
export * from './commit-change.ts';
export type * from './commit-outcome.ts';
export * from './commit-roster.ts';
export type * from './configuration-head.ts';
export * from './configuration-row.ts';
export * from './create-platform-client.ts';
export * from './describe-change.ts';
export * from './format-fleet.ts';
export * from './parse-configuration.ts';
export * from './parse-fleet.ts';
export * from './parse-head.ts';
export * from './parse-row.ts';
export type * from './platform-client.ts';
export * from './read-body.ts';
export * from './read-configuration.ts';
export * from './roster-schema.ts';
