/** Load generator: sends an open-loop load, checks the answers, and reports the measurements. */
export * from './check-history.ts';
export * from './create-report.ts';
export * from './create-schedule.ts';
export type * from './fault-interval.ts';
export * from './find-wrongful-refusals.ts';
export * from './format-summary.ts';
export type * from './load-class.ts';
export * from './load-classes.ts';
export type * from './load-history.ts';
export * from './load-plan-schema.ts';
export type * from './load-plan.ts';
export type * from './load-summary.ts';
export type * from './request-outcome.ts';
export * from './run-load.ts';
export type * from './scheduled-request.ts';
export * from './summarize-load.ts';
export type * from './violation.ts';
