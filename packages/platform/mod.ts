/** Client of the platform: table, object store and list of hosts and instances. */
export * from './commit-change.ts';
export type * from './commit-outcome.ts';
export * from './commit-roster.ts';
export type * from './configuration-head.ts';
export * from './configuration-row-name.ts';
export * from './create-platform-client.ts';
export * from './describe-change.ts';
export * from './format-configuration.ts';
export * from './format-fleet-configuration.ts';
export * from './parse-configuration-head.ts';
export * from './parse-configuration-row.ts';
export * from './parse-configuration.ts';
export * from './parse-fleet-configuration.ts';
export type * from './platform-client.ts';
export * from './read-configuration-body.ts';
export * from './read-configuration.ts';
export * from './roster-schema.ts';
