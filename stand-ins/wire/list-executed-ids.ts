import type {SoakRecord} from './soak-record.ts';

/** Lists the identifiers of the clients' statements that an instance ran. */
export function listExecutedIds({groups}: Pick<SoakRecord, 'groups'>): ReadonlySet<string> {
	const statements = groups.flatMap(({instances}) => instances).flatMap(instance => instance.executedStatements());
	return new Set(statements.map(({id}) => id));
}
