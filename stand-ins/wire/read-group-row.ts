import type {StoreStandIn} from './store-stand-in.ts';

/** Row of a group in the hosts' own table of the store. */
type Row = {readonly state: string; readonly holder: string; readonly primary: string};

/** Reads the row of a group from the simulated store; undefined as long as no host has written it. */
export function readGroupRow(store: Pick<StoreStandIn, 'read'>, group: string): Row | undefined {
	return store.read('sapphirefall', `group/${group}`) as Row | undefined;
}
