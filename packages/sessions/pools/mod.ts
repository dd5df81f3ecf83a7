/** The connections of a host to an instance. */
export type * from './acquire-outcome.ts';
export type * from './acquire-request.ts';
export * from './choose-eviction.ts';
export type * from './connection-refusal.ts';
export * from './create-connection-allowance.ts';
export * from './create-instance-pool.ts';
export * from './create-workspace-demand.ts';
export * from './find-allowed-connections.ts';
export * from './find-connection-limit.ts';
export type * from './instance-pool.ts';
export * from './is-reset-alone.ts';
export type * from './pooled-connection.ts';
export * from './take-connection.ts';
export type * from './workspace-demand.ts';
