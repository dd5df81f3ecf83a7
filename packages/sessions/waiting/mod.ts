/** The order in which requests wait for an instance, and the refusal of those that cannot be served in time. */
export * from './add-work.ts';
export * from './choose-priority.ts';
export * from './create-priority-head.ts';
export * from './create-retry-hint.ts';
export * from './create-retry-reservations.ts';
export * from './create-service-timer.ts';
export * from './create-waiting-class.ts';
export type * from './ended-wait.ts';
export * from './find-service-ms.ts';
export * from './find-wait.ts';
export * from './find-work-ahead.ts';
export * from './is-overdue.ts';
export * from './list-overdue.ts';
export type * from './retry-hint.ts';
export type * from './service-pace.ts';
export type * from './waiting-class.ts';
export type * from './waiting-refusal.ts';
export type * from './work-ahead.ts';
