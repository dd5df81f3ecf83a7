/** Checked settings in YAML. */
export type * from './declaration-file.ts';
export * from './declaration-schema.ts';
export type * from './host-file.ts';
export * from './host-schema.ts';
export * from './list-settings.ts';
export * from './parse-settings.ts';
export type * from './settings-issue.ts';
export type * from './settings-outcome.ts';
