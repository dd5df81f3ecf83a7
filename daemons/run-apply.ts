import {create} from '@bufbuild/protobuf';
import {
	createConfiguration, formatFreshness, listDifferences, type Declaration, type Difference,
} from '@sapphirefall/decisions';
import {declarationSchema} from '@sapphirefall/settings';
import {DeclareSchema, type Declare} from '@sapphirefall/wire';
import {createDeclaration} from './create-declaration.ts';
import {describeConfigurationEntries} from './describe-configuration-entries.ts';
import {readCheckedFile} from './read-checked-file.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {readonly dryRun?: boolean};

const symbols: Readonly<Record<Difference['kind'], string>> = {added: '+', removed: '-', changed: '~'};

/**
 * Runs `sapphirefall apply`: prints the differences between a declaration and the configuration in force, and replaces
 * the declared sections in one change.
 *
 * The change is based on the version that was compared, or on `--based-on`. It is refused when another version is in
 * force by then.
 *
 * @throws {CommandError} When the file is invalid or the change is refused.
 */
export async function runApply(file: string, options: Options): Promise<void> {
	const declared = createDeclaration(readCheckedFile(file, declarationSchema));
	const known = await readKnownConfiguration(options);
	const differences = listDifferences(
		describeConfigurationEntries(selectSections(known, declared)),
		describeConfigurationEntries({...declared, keys: mapKeysToWorkspaces(declared.keys ?? new Map())}),
	);
	printDifferences(differences, options.json === true);
	if (options.dryRun !== true && differences.length > 0) {
		await sendChange({case: 'declare', value: encodeDeclaration(declared)}, {...options, basedOn: options.basedOn ?? known.version});
	}
}

/** Selects the sections of the known configuration that the declaration also contains. */
function selectSections(
	{
		workspaces, keys, freshness, exceptions, routes,
	}: Awaited<ReturnType<typeof readKnownConfiguration>>,
	declared: Declaration,
): Parameters<typeof describeConfigurationEntries>[0] {
	return {
		...(declared.workspaces && {workspaces}),
		...(declared.keys && {keys}),
		...(declared.freshness && {freshness}),
		...(declared.exceptions && {exceptions}),
		...(declared.routes && {routes}),
	};
}

function mapKeysToWorkspaces(keys: NonNullable<Declaration['keys']>): ReadonlyMap<string, string> {
	return new Map(Array.from(keys, ([keyId, {workspace}]) => [keyId, workspace]));
}

function printDifferences(differences: readonly Difference[], isJson: boolean): void {
	if (isJson) {
		console.log(JSON.stringify(differences));
		return;
	}

	for (const {
		kind, name, before, after,
	} of differences) {
		const content = [before, after].filter(text => text !== '').join(' -> ');
		console.log(`${symbols[kind]} ${name}: ${content}`);
	}

	if (differences.length === 0) {
		console.log('Nothing differs');
	}
}

function encodeDeclaration(declared: Declaration): Declare {
	const {
		workspaces, keys, freshness, exceptions, routes,
	} = {...createConfiguration(), ...declared};
	return create(DeclareSchema, {
		sections: Object.keys(declared),
		workspaces: Array.from(workspaces, ([workspace, {rate, burst, databases}]) => ({
			workspace, rate, burst, databases: [...databases],
		})),
		keys: Array.from(keys, ([keyId, {workspace, digest}]) => ({keyId, workspace, digest})),
		freshness: Array.from(freshness, ([kind, value]) => ({kind, freshness: formatFreshness(value)})),
		exceptions: exceptions.map(exception => ({...exception, freshness: formatFreshness(exception.freshness)})),
		routes: Array.from(routes, ([route, content]) => ({...content, route, freshness: formatFreshness(content.freshness)})),
	});
}
