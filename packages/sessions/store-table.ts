/** A table of the platform's store: the operators' configuration, the listed instances, or the fleet's own rows. */
export type StoreTable = 'configuration' | 'instances' | 'fleet';
