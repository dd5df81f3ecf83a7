import type {AskedTable} from './asked-table.ts';
import type {StoreTable} from './store-table.ts';

type Options = {
	/** What the asking host knew when it asked. */
	readonly asked: ReadonlyMap<StoreTable, AskedTable>;
	/** Milliseconds since it asked. */
	readonly waited: number;
	/** Milliseconds since the store confirmed what is known here. */
	readonly ages: ReadonlyMap<StoreTable, number>;
};

/** Milliseconds by which a proof must be younger than that of the asking host to be worth an answer. */
const leastGain = 300;

/** Tables whose proofs leases and keys depend on. */
const provenTables = ['fleet', 'configuration'] as const satisfies readonly StoreTable[];

/** Finds how many of the proofs that matter are younger here than at the host that asks: all, some or none. */
export function findRenewal({asked, waited, ages}: Options): 'all' | 'some' | 'none' {
	const renewed = provenTables.filter(table => {
		const age = asked.get(table)?.age ?? Number.POSITIVE_INFINITY;
		return age + waited - (ages.get(table) ?? Number.POSITIVE_INFINITY) > leastGain;
	});
	return renewed.length === provenTables.length ? 'all' : (renewed.length > 0 ? 'some' : 'none');
}
