import type {AskedTable} from './asked-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	/** What the asking host had of each table when it asked. */
	readonly asked: ReadonlyMap<StoreTable, AskedTable>;
	/** Milliseconds since the host asked. */
	readonly waited: number;
	/** Milliseconds since the store confirmed this host's copy of each table. */
	readonly ages: ReadonlyMap<StoreTable, number>;
};

/** Milliseconds by which this host's copy must be fresher than that of the asking host to be worth an answer. */
const minGainMs = 300;

/** Tables that must be fresh: leases depend on `fleet`, and the validity of keys on `configuration`. */
const freshTables = ['fleet', 'configuration'] as const satisfies readonly StoreTable[];

/** Finds whether this host has fresher copies of all, some or none of the tables that must be fresh. */
export function findRenewal({asked, waited, ages}: Options): 'all' | 'some' | 'none' {
	const renewed = freshTables.filter(table => {
		const age = asked.get(table)?.age ?? Number.POSITIVE_INFINITY;
		return age + waited - (ages.get(table) ?? Number.POSITIVE_INFINITY) > minGainMs;
	});
	return renewed.length === freshTables.length ? 'all' : (renewed.length > 0 ? 'some' : 'none');
}
