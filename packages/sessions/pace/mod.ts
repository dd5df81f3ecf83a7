/** The pace of an instance: how many statements a host has in progress there, found from how the instance answers. */
export * from './apply-pace-observation.ts';
export * from './choose-waiter.ts';
export * from './create-entry-queue.ts';
export * from './create-pace-log.ts';
export * from './create-pace-metrics.ts';
export * from './create-pace-state.ts';
export * from './create-statement-gate.ts';
export * from './create-taken-places.ts';
export type * from './enter-outcome.ts';
export * from './find-pace-bounds.ts';
export * from './find-pace-observation.ts';
export type * from './instance-pace.ts';
export type * from './pace-bounds.ts';
export type * from './pace-observation.ts';
export type * from './pace-state.ts';
export type * from './statement-gate.ts';
export type * from './statement-place.ts';
