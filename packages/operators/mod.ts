/** Server side of the operator interface: changes, status, metrics and health checks. */
export * from './create-metrics.ts';
export * from './create-operator-handler.ts';
export * from './decode-change.ts';
export * from './decode-declaration.ts';
export type * from './decoded-change.ts';
export type * from './metrics.ts';
export type * from './operator-backend.ts';
