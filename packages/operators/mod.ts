/** Operators as a peer: changes, status, metrics and the command line. */
export * from './create-metrics.ts';
export * from './create-operator-handler.ts';
export * from './decode-change.ts';
export * from './decode-declaration.ts';
export type * from './decoded-change.ts';
export type * from './metrics.ts';
export type * from './operator-backend.ts';
