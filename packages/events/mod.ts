/** Typed events with hybrid logical timestamps, and the timeline merged from them. */
export * from './create-event-log.ts';
export * from './create-hybrid-clock.ts';
export type * from './event-filter.ts';
export type * from './event-log.ts';
export * from './format-event.ts';
export * from './format-timeline.ts';
export type * from './hybrid-clock.ts';
export * from './merge-timeline.ts';
export * from './parse-event.ts';
export type * from './process-event.ts';
export * from './ticks-per-ms.ts';
