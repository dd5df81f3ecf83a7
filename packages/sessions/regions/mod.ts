/** Decides in which regions the statements of a route and a workspace may run, and through which hosts they may go. */
export type * from './allowed-regions.ts';
export * from './find-allowed-regions.ts';
export * from './find-unrestricted-workspace.ts';
export * from './is-host-allowed.ts';
export * from './is-zone-allowed.ts';
export type * from './region-map.ts';
