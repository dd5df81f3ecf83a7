import type {Difference} from './difference.ts';

/**
 * Lists the differences between the configuration in force and the declared one.
 *
 * @param before Descriptions of the entries in force, by name.
 * @param after Descriptions of the declared entries, by name.
 * @returns The differences, sorted by name.
 * @example
 * listDifferences({'workspace upper': 'rate 50'}, {'workspace upper': 'rate 80'});
 * // [{kind: 'changed', name: 'workspace upper', before: 'rate 50', after: 'rate 80'}]
 */
export function listDifferences(
	before: Readonly<Record<string, string>>,
	after: Readonly<Record<string, string>>,
): readonly Difference[] {
	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted();
	return names
		.filter(name => before[name] !== after[name])
		.map(name => ({
			kind: findDifferenceKind(before[name], after[name]), name, before: before[name] ?? '', after: after[name] ?? '',
		}));
}

function findDifferenceKind(before: string | undefined, after: string | undefined): Difference['kind'] {
	if (before === undefined) {
		return 'added';
	}

	return after === undefined ? 'removed' : 'changed';
}
