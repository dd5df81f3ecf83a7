import {
	describeUnknownFreshness, parseFreshness, requireFreshness, type Declaration,
} from '@sapphirefall/decisions';
import type {Declare} from '@sapphirefall/wire';
import type {DecodedChange} from './decoded-change.ts';

const sectionNames: readonly string[] = ['workspaces', 'keys', 'freshness', 'exceptions', 'routes'] satisfies ReadonlyArray<keyof Declaration>;

/** Decodes a declaration, which replaces whole sections of the configuration. */
export function decodeDeclaration(declared: Declare): DecodedChange {
	const unknown = declared.sections.filter(section => !sectionNames.includes(section));
	const texts = [...declared.freshness, ...declared.exceptions, ...declared.routes].map(({freshness}) => freshness);
	const faults = [
		...unknown.map(section => `the section "${section}" is none of ${sectionNames.join(', ')}`),
		...texts
			.filter(text => parseFreshness(text) === undefined)
			.map(text => describeUnknownFreshness(text)),
	];
	return faults.length === 0
		? {kind: 'change', change: {kind: 'declare', declaration: selectSections(declared)}}
		: {kind: 'invalid', reason: faults.join('; ')};
}

/** Returns the sections that the message lists. A section that is listed and empty is declared empty. */
function selectSections(declared: Declare): Declaration {
	const has = (section: keyof Declaration) => declared.sections.includes(section);
	return {
		...(has('workspaces') && {
			workspaces: new Map(declared.workspaces.map(({workspace, rate, burst, databases}) => [workspace, {rate, burst, databases}])),
		}),
		...(has('keys') && {
			keys: new Map(declared.keys.map(({keyId, workspace, digest}) => [keyId, {workspace, digest}])),
		}),
		...(has('freshness') && {
			freshness: new Map(declared.freshness.map(({kind, freshness}) => [kind, requireFreshness(freshness)])),
		}),
		...(has('exceptions') && {
			exceptions: declared.exceptions.map(({
				workspace, kind, freshness, reason,
			}) => ({
				workspace, kind, freshness: requireFreshness(freshness), reason,
			})),
		}),
		...(has('routes') && {
			routes: new Map(declared.routes.map(({
				route, workspace, database, sql, freshness,
			}) => [route, {
				workspace, database, sql, freshness: requireFreshness(freshness),
			}])),
		}),
	};
}
