import type {Difference} from './difference.ts';

/**
 * Lists what differs between the parts that are in force and those that are declared.
 *
 * @param before Parts by name, in words.
 * @param after The declared ones.
 * @returns The differences, by name.
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
			kind: findKind(before[name], after[name]), name, before: before[name] ?? '', after: after[name] ?? '',
		}));
}

function findKind(before: string | undefined, after: string | undefined): Difference['kind'] {
	if (before === undefined) {
		return 'added';
	}

	return after === undefined ? 'removed' : 'changed';
}
