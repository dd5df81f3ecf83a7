import {listDeclaredChanges} from './list-declared-changes.ts';
import {resultCodes} from './result-codes.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {Configuration} from './configuration.ts';
import type {Declaration} from './declaration.ts';

type Options = {
	readonly declaration: Declaration;
	/** Makes one change without a new version. */
	readonly makeChange: (configuration: Configuration, change: Change) => ChangeOutcome;
};

/**
 * Makes the sections that a declaration holds what it says, in one change.
 *
 * What belongs to a workspace that the declaration leaves out goes with it. Each part meets the same checks as a
 * change of its own; nothing is changed when one of them fails.
 *
 * @param next The configuration to change.
 * @param options The declaration, and how to make one of its parts.
 * @returns The configuration, or all that is wrong with the declaration.
 */
export function applyDeclaration(next: Configuration, options: Options): ChangeOutcome {
	const {declaration, makeChange} = options;
	let configuration = clearSections(next, declaration);
	const faults = listNewDigests(next, declaration);
	for (const change of listDeclaredChanges(declaration)) {
		const outcome = makeChange(configuration, change);
		if (outcome.kind === 'changed') {
			({configuration} = outcome);
		} else {
			faults.push(outcome.reason);
		}
	}

	return faults.length === 0
		? {kind: 'changed', configuration}
		: {kind: 'refused', code: resultCodes.changeInvalid, reason: faults.join('; ')};
}

/** Empties the sections that the declaration holds, and drops from the others what belongs to no workspace any more. */
function clearSections(configuration: Configuration, declaration: Declaration): Configuration {
	const {workspaces} = declaration;
	const isKept = ({workspace}: {readonly workspace: string}) => workspaces === undefined || Object.hasOwn(workspaces, workspace);
	return {
		...configuration,
		workspaces: workspaces === undefined ? configuration.workspaces : {},
		keys: declaration.keys === undefined ? selectEntries(configuration.keys, isKept) : {},
		freshness: declaration.freshness === undefined ? configuration.freshness : {},
		exceptions: declaration.exceptions === undefined ? configuration.exceptions.filter(exception => isKept(exception)) : [],
		routes: declaration.routes === undefined ? selectEntries(configuration.routes, isKept) : {},
	};
}

function selectEntries<Value>(
	entries: Readonly<Record<string, Value>>,
	isSelected: (value: Value) => boolean,
): Readonly<Record<string, Value>> {
	return Object.fromEntries(Object.entries(entries).filter(([, value]) => isSelected(value)));
}

/** Lists the keys that the declaration gives another digest; a key is withdrawn and given under a new name instead. */
function listNewDigests(configuration: Configuration, {keys = {}}: Declaration): string[] {
	return Object.entries(keys)
		.filter(([keyId, {digest}]) => (configuration.keys[keyId]?.digest ?? digest) !== digest)
		.map(([keyId]) => `the key "${keyId}" exists with another digest; give the new key another name`);
}
