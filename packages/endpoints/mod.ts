/** Client side of the database endpoints: connections, connection pools, probes and failover commands. */
export type * from './batch-outcome.ts';
export type * from './batch.ts';
export type * from './connection-pool.ts';
export type * from './connection.ts';
export * from './create-connection-pool.ts';
export * from './create-failover-client.ts';
export type * from './failover-client.ts';
export * from './open-connection.ts';
export * from './open-prober.ts';
export type * from './prober.ts';
