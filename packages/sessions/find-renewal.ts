import type {RequestedTable} from './requested-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	/** State of each table at the requesting host when it sent the request. */
	readonly requested: ReadonlyMap<StoreTable, RequestedTable>;
	/** Milliseconds since the request arrived. */
	readonly waited: number;
	/** Milliseconds since the store confirmed this host's copy of each table. */
	readonly ages: ReadonlyMap<StoreTable, number>;
};

/** Milliseconds by which this host's copy must be fresher than that of the requesting host to be worth an answer. */
const minGainMs = 300;

/** Tables that must be fresh: leases depend on `fleet`, and the validity of keys on `configuration`. */
const freshTables = ['fleet', 'configuration'] as const satisfies readonly StoreTable[];

/** Finds whether this host has fresher copies of all, some or none of the tables that must be fresh. */
export function findRenewal({requested, waited, ages}: Options): 'all' | 'some' | 'none' {
	const renewed = freshTables.filter(table => {
		const age = requested.get(table)?.age ?? Number.POSITIVE_INFINITY;
		return age + waited - (ages.get(table) ?? Number.POSITIVE_INFINITY) > minGainMs;
	});
	return renewed.length === freshTables.length ? 'all' : (renewed.length > 0 ? 'some' : 'none');
}
