import type {CachedTable} from './cached-table.ts';
import type {StoreTable} from './store-table.ts';

type Rows = CachedTable['rows'];

/** Chooses the rows of a table to keep when newer ones arrive, which were read in an era of the store, given those that the host has. */
export type ChooseRows = (table: StoreTable, rows: {readonly known: Rows | undefined; readonly newer: Rows; readonly era: number}) => Rows;
