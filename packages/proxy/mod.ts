/** The proxy itself: requests, database groups, and the control loop that ties the peers to the decisions. */
export * from './create-group-runtime.ts';
export * from './create-loop.ts';
export * from './create-request-handler.ts';
export * from './describe-configuration.ts';
export * from './execute-read.ts';
export * from './execute-request.ts';
export * from './execute-write.ts';
export type * from './execution-context.ts';
export type * from './group-runtime.ts';
export type * from './host-log.ts';
export type * from './running-host.ts';
export type * from './scope.ts';
export * from './start-host.ts';
