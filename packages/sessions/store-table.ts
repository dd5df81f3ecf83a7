/** A table of the platform's store: the operators' configuration, the registered instances, or the hosts' own rows. */
export type StoreTable = 'configuration' | 'instances' | 'fleet';
