/** Keeps track of the logs that may hold acknowledged commits, where a replica must have received a commit before it is acknowledged. */
export * from './add-commit-mark.ts';
export * from './add-log-mark.ts';
export type * from './commit-mark.ts';
export * from './create-copy-upkeep.ts';
export * from './create-host-changes.ts';
export * from './create-known-logs.ts';
export * from './decode-copies.ts';
export * from './find-acknowledged-point.ts';
export * from './find-copy-task.ts';
export * from './find-newest-commit.ts';
export * from './has-every-commit.ts';
export * from './is-same-copy.ts';
export * from './list-missing-copies.ts';
export type * from './log-copy.ts';
export type * from './log-mark.ts';
export * from './max-copies.ts';
export * from './merge-copies.ts';
export * from './read-acknowledged-point.ts';
