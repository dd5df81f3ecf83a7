import type {AcceptorStatement} from './acceptor-statement.ts';

/** Applies what another host told of the acceptors' word; the newest word of each counts. */
export function applyStatements(
	known: ReadonlyMap<string, number>,
	told: readonly AcceptorStatement[],
): ReadonlyMap<string, number> {
	const statements = new Map(known);
	for (const {id, at} of told) {
		statements.set(id, Math.max(at, statements.get(id) ?? -Infinity));
	}

	return statements;
}
