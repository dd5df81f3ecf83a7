import {
	describeUnknownFreshness, parseFreshness, type Change, type Freshness,
} from '@sapphirefall/decisions';
import type {ChangeRequest} from '@sapphirefall/wire';
import {decodeDeclaration} from './decode-declaration.ts';
import type {DecodedChange} from './decoded-change.ts';

/** Decodes the change that an operator requests. */
export function decodeChange(request: ChangeRequest): DecodedChange {
	const {change} = request;
	switch (change.case) {
		case 'setWorkspace': {
			const {workspace, rate, burst, databases} = change.value;
			return createDecodedChange({
				kind: 'setWorkspace', workspace, rate, burst, databases,
			});
		}

		case 'removeWorkspace': {
			return createDecodedChange({kind: 'removeWorkspace', workspace: change.value.workspace});
		}

		case 'addKey': {
			const {workspace, keyId, digest} = change.value;
			return createDecodedChange({
				kind: 'addKey', workspace, keyId, digest,
			});
		}

		case 'withdrawKey': {
			return createDecodedChange({kind: 'withdrawKey', keyId: change.value.keyId});
		}

		case 'setFreshness': {
			const {kind: readKind} = change.value;
			return decodeFreshnessChange(change.value.freshness, freshness => ({kind: 'setFreshness', readKind, freshness}));
		}

		case 'setException': {
			const {workspace, kind: readKind, reason} = change.value;
			return decodeFreshnessChange(change.value.freshness, freshness => ({
				kind: 'setException', workspace, readKind, freshness, reason,
			}));
		}

		case 'setRoute': {
			const {route, workspace, database, sql} = change.value;
			return decodeFreshnessChange(change.value.freshness, freshness => ({
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

function createDecodedChange(change: Change): DecodedChange {
	return {kind: 'change', change};
}

function decodeFreshnessChange(text: string, createChange: (freshness: Freshness) => Change): DecodedChange {
	const freshness = parseFreshness(text);
	return freshness === undefined
		? {kind: 'invalid', reason: describeUnknownFreshness(text)}
		: createDecodedChange(createChange(freshness));
}
