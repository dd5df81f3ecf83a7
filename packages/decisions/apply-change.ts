import {applyDeclaration} from './apply-declaration.ts';
import {resultCodes} from './result-codes.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {Configuration} from './configuration.ts';
import type {ResultCode} from './result-code.ts';

/** Fewest characters of the reason that an operator gives for an exception. */
const minReasonLength = 10;

/** Matches the names of workspaces, keys, kinds of read and routes. */
const namePattern = /^[a-z0-9][a-z0-9\-]{0,62}$/v;
/** Matches a SHA-256 digest in hexadecimal. */
const digestPattern = /^[0-9a-f]{64}$/v;

/**
 * Applies an operator's change to a configuration.
 *
 * @param configuration The version that the change is based on.
 * @param options The change and its identifier.
 * @returns The next version of the configuration, or the code and reason of the refusal.
 */
export function applyChange(
	configuration: Configuration,
	options: {readonly change: Change; readonly changeId: string},
): ChangeOutcome {
	return applyUnversioned({...configuration, version: configuration.version + 1, changeId: options.changeId}, options.change);
}

/** Applies a change to a configuration whose version is already the next one. */
function applyUnversioned(next: Configuration, change: Change): ChangeOutcome {
	switch (change.kind) {
		case 'setWorkspace': {
			return setWorkspace(next, change);
		}

		case 'removeWorkspace': {
			return removeWorkspace(next, change);
		}

		case 'addKey': {
			return addKey(next, change);
		}

		case 'withdrawKey': {
			return withdrawKey(next, change);
		}

		case 'setFreshness': {
			return setFreshness(next, change);
		}

		case 'setException': {
			return setException(next, change);
		}

		case 'setRoute': {
			return setRoute(next, change);
		}

		case 'declare': {
			return applyDeclaration(next, {declaration: change.declaration, applyUnversioned});
		}
	}
}

type ChangeOf<Kind extends Change['kind']> = Extract<Change, {readonly kind: Kind}>;

function createChangedOutcome(configuration: Configuration): ChangeOutcome {
	return {kind: 'changed', configuration};
}

function createRefusedOutcome(code: ResultCode, reason: string): ChangeOutcome {
	return {kind: 'refused', code, reason};
}

function setWorkspace(next: Configuration, change: ChangeOf<'setWorkspace'>): ChangeOutcome {
	const {workspace, rate, burst, databases} = change;
	if (!namePattern.test(workspace)) {
		return createRefusedOutcome(resultCodes.changeInvalid, `the workspace name "${workspace}" is not of a-z, 0-9 and -`);
	}

	if (!(rate > 0) || !(burst > 0) || !Number.isFinite(rate + burst)) {
		return createRefusedOutcome(resultCodes.changeInvalid, `rate ${rate} and burst ${burst} must be positive numbers`);
	}

	return createChangedOutcome({...next, workspaces: addEntry(next.workspaces, workspace, {rate, burst, databases})});
}

function removeWorkspace(next: Configuration, change: ChangeOf<'removeWorkspace'>): ChangeOutcome {
	if (!next.workspaces.has(change.workspace)) {
		return createNameUnknown('workspace', change.workspace);
	}

	const workspaces = dropEntry(next.workspaces, change.workspace);
	const keys = new Map([...next.keys].filter(([, key]) => key.workspace !== change.workspace));
	const exceptions = next.exceptions.filter(exception => exception.workspace !== change.workspace);
	const routes = new Map([...next.routes].filter(([, route]) => route.workspace !== change.workspace));
	return createChangedOutcome({
		...next, workspaces, keys, exceptions, routes,
	});
}

function addKey(next: Configuration, change: ChangeOf<'addKey'>): ChangeOutcome {
	const {workspace, keyId, digest} = change;
	if (!next.workspaces.has(workspace)) {
		return createNameUnknown('workspace', workspace);
	}

	if (!namePattern.test(keyId) || !digestPattern.test(digest)) {
		return createRefusedOutcome(resultCodes.changeInvalid, `the key "${keyId}" needs a name of a-z, 0-9 and - and a SHA-256 digest`);
	}

	const isTaken = next.keys.has(keyId) || [...next.keys.values()].some(key => key.digest === digest);
	if (isTaken) {
		return createRefusedOutcome(resultCodes.changeInvalid, `the key "${keyId}" exists already`);
	}

	return createChangedOutcome({...next, keys: addEntry(next.keys, keyId, {workspace, digest})});
}

function withdrawKey(next: Configuration, change: ChangeOf<'withdrawKey'>): ChangeOutcome {
	return next.keys.has(change.keyId)
		? createChangedOutcome({...next, keys: dropEntry(next.keys, change.keyId)})
		: createNameUnknown('key', change.keyId);
}

function setFreshness(next: Configuration, change: ChangeOf<'setFreshness'>): ChangeOutcome {
	if (!namePattern.test(change.readKind)) {
		return createRefusedOutcome(resultCodes.changeInvalid, `the kind of read "${change.readKind}" is not of a-z, 0-9 and -`);
	}

	return createChangedOutcome({...next, freshness: addEntry(next.freshness, change.readKind, change.freshness)});
}

function setException(next: Configuration, change: ChangeOf<'setException'>): ChangeOutcome {
	const {workspace, readKind, freshness, reason} = change;
	if (reason.trim().length < minReasonLength) {
		return createRefusedOutcome(
			resultCodes.changeInvalid,
			`the exception of "${workspace}" for "${readKind}" needs a written reason of ${minReasonLength} characters or more`,
		);
	}

	if (!next.workspaces.has(workspace)) {
		return createNameUnknown('workspace', workspace);
	}

	if (!next.freshness.has(readKind)) {
		return createNameUnknown('kind of read', readKind);
	}

	const others = next.exceptions.filter(exception => exception.workspace !== workspace || exception.kind !== readKind);
	return createChangedOutcome({
		...next, exceptions: [...others, {
			workspace, kind: readKind, freshness, reason,
		}],
	});
}

function setRoute(next: Configuration, change: ChangeOf<'setRoute'>): ChangeOutcome {
	const {route, workspace, database, sql, freshness} = change;
	if (!namePattern.test(route)) {
		return createRefusedOutcome(resultCodes.changeInvalid, `the route name "${route}" is not of a-z, 0-9 and -`);
	}

	if (!next.workspaces.has(workspace)) {
		return createNameUnknown('workspace', workspace);
	}

	if (freshness.kind === 'session') {
		return createRefusedOutcome(resultCodes.changeInvalid, `the route "${route}" has no sessions; its freshness must be latest or within an age`);
	}

	return createChangedOutcome({
		...next, routes: addEntry(next.routes, route, {
			workspace, database, sql, freshness,
		}),
	});
}

function addEntry<Value>(entries: ReadonlyMap<string, Value>, ...entry: readonly [name: string, value: Value]): ReadonlyMap<string, Value> {
	return new Map([...entries, entry]);
}

function dropEntry<Value>(entries: ReadonlyMap<string, Value>, dropped: string): ReadonlyMap<string, Value> {
	return new Map([...entries].filter(([name]) => name !== dropped));
}

function createNameUnknown(what: string, name: string): ChangeOutcome {
	return createRefusedOutcome(resultCodes.nameUnknown, `the ${what} "${name}" does not exist`);
}
