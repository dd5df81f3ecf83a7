/** The evacuation of availability zones by operators: which zones, what may still be sent there, and when a primary leaves. */
export * from './choose-evacuation-rows.ts';
export * from './create-evacuations.ts';
export * from './create-guarded-dispatch.ts';
export * from './create-guarded-pool.ts';
export * from './create-guarded-runner.ts';
export * from './create-guarded-send.ts';
export type * from './evacuation.ts';
export type * from './evacuations.ts';
export * from './find-primary-for-new-work.ts';
export * from './find-zone-phase.ts';
export * from './has-successor-elsewhere.ts';
export * from './is-job-allowed.ts';
export * from './is-move-due.ts';
export * from './update-evacuations.ts';
export type * from './zone-phase.ts';
