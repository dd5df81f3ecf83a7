import {listDeclaredChanges} from './list-declared-changes.ts';
import {resultCodes} from './result-codes.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {Configuration} from './configuration.ts';
import type {Declaration} from './declaration.ts';

type Options = {
	readonly declaration: Declaration;
	/** Applies one change without incrementing the version. */
	readonly applyUnversioned: (configuration: Configuration, change: Change) => ChangeOutcome;
};

/**
 * Replaces the sections of a configuration that a declaration contains, in one change.
 *
 * The keys, exceptions and routes of a workspace that the declaration omits are removed with the workspace. Each
 * entry passes the same checks as a separate change; when one check fails, nothing is changed.
 *
 * @param next The configuration to change.
 * @param options The declaration, and the function that applies a single change.
 * @returns The changed configuration, or a refusal whose reason lists all errors of the declaration.
 */
export function applyDeclaration(next: Configuration, options: Options): ChangeOutcome {
	const {declaration, applyUnversioned} = options;
	let configuration = clearSections(next, declaration);
	const errors = listDigestErrors(next, declaration);
	for (const change of listDeclaredChanges(declaration)) {
		const outcome = applyUnversioned(configuration, change);
		if (outcome.kind === 'changed') {
			({configuration} = outcome);
		} else {
			errors.push(outcome.reason);
		}
	}

	return errors.length === 0
		? {kind: 'changed', configuration}
		: {kind: 'refused', code: resultCodes.changeInvalid, reason: errors.join('; ')};
}

/** Empties the sections that the declaration contains, and removes entries of omitted workspaces from the others. */
function clearSections(configuration: Configuration, declaration: Declaration): Configuration {
	const {workspaces} = declaration;
	const isKept = ({workspace}: {readonly workspace: string}) => workspaces === undefined || workspaces.has(workspace);
	return {
		...configuration,
		workspaces: workspaces === undefined ? configuration.workspaces : new Map(),
		keys: declaration.keys === undefined ? selectEntries(configuration.keys, isKept) : new Map(),
		freshness: declaration.freshness === undefined ? configuration.freshness : new Map(),
		exceptions: declaration.exceptions === undefined ? configuration.exceptions.filter(exception => isKept(exception)) : [],
		routes: declaration.routes === undefined ? selectEntries(configuration.routes, isKept) : new Map(),
	};
}

function selectEntries<Value>(
	entries: ReadonlyMap<string, Value>,
	isSelected: (value: Value) => boolean,
): ReadonlyMap<string, Value> {
	return new Map([...entries].filter(([, value]) => isSelected(value)));
}

/**
 * Lists an error for each key whose digest the declaration changes.
 *
 * A key keeps its digest; a new key is added under a new name and the old one withdrawn.
 */
function listDigestErrors(configuration: Configuration, {keys = new Map()}: Declaration): string[] {
	return [...keys]
		.filter(([keyId, {digest}]) => (configuration.keys.get(keyId)?.digest ?? digest) !== digest)
		.map(([keyId]) => `the key "${keyId}" exists with another digest; give the new key another name`);
}
