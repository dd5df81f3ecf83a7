/** Bounds on what clients can take of a host: connections, the time of what they leave unfinished, and memory. */
export type * from './client-progress.ts';
export type * from './connection-close.ts';
export type * from './connection-limits.ts';
export * from './create-connection-admission.ts';
export * from './create-connection-memory.ts';
export * from './create-memory-relief.ts';
export * from './find-connection-limits.ts';
export * from './find-job-bytes.ts';
export * from './find-overdue-reason.ts';
export * from './is-stalled.ts';
export type * from './machine-limits.ts';
export type * from './memory-holder.ts';
export * from './run-within-budget.ts';
