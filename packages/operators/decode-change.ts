import {
	describeUnknownFreshness, parseFreshness, type Change, type Freshness,
} from '@sapphirefall/decisions';
import type {ChangeRequest} from '@sapphirefall/wire';
import {decodeDeclaration} from './decode-declaration.ts';
import type {DecodedChange} from './decoded-change.ts';

/** Decodes an operator's change. */
export function decodeChange(request: ChangeRequest): DecodedChange {
	const {change} = request;
	switch (change.case) {
		case 'setWorkspace': {
			const {workspace, rate, burst, databases} = change.value;
			return createDecoded({
				kind: 'setWorkspace', workspace, rate, burst, databases,
			});
		}

		case 'removeWorkspace': {
			return createDecoded({kind: 'removeWorkspace', workspace: change.value.workspace});
		}

		case 'addKey': {
			const {workspace, keyId, digest} = change.value;
			return createDecoded({
				kind: 'addKey', workspace, keyId, digest,
			});
		}

		case 'withdrawKey': {
			return createDecoded({kind: 'withdrawKey', keyId: change.value.keyId});
		}

		case 'setFreshness': {
			const {kind: readKind} = change.value;
			return withFreshness(change.value.freshness, freshness => ({kind: 'setFreshness', readKind, freshness}));
		}

		case 'setException': {
			const {workspace, kind: readKind, reason} = change.value;
			return withFreshness(change.value.freshness, freshness => ({
				kind: 'setException', workspace, readKind, freshness, reason,
			}));
		}

		case 'setRoute': {
			const {route, workspace, database, sql} = change.value;
			return withFreshness(change.value.freshness, freshness => ({
				kind: 'setRoute', route, workspace, database, sql, freshness,
			}));
		}

		case 'declare': {
			return decodeDeclaration(change.value);
		}

		case undefined: {
			return {kind: 'invalid', reason: 'the request names no change'};
		}
	}
}

function createDecoded(change: Change): DecodedChange {
	return {kind: 'change', change};
}

function withFreshness(text: string, createChange: (freshness: Freshness) => Change): DecodedChange {
	const freshness = parseFreshness(text);
	return freshness === undefined
		? {kind: 'invalid', reason: describeUnknownFreshness(text)}
		: createDecoded(createChange(freshness));
}
