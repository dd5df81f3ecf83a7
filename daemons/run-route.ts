import {create} from '@bufbuild/protobuf';
import {SetRouteSchema} from '@sapphirefall/wire';
import {chooseAction} from './choose-action.ts';
import {printTable} from './print-table.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {requireOption} from './require-option.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {
	readonly workspace?: string;
	readonly database?: string;
	readonly sql?: string;
	readonly freshness?: string;
};

/** Runs `sapphirefall route`: sets an open route, which runs a fixed statement for callers without a key, or lists the routes. */
export async function runRoute(action: string, name: string | undefined, options: Options): Promise<void> {
	await chooseAction(action, {set: setRoute, list: listRoutes})(name, options);
}

async function setRoute(name: string | undefined, options: Options): Promise<void> {
	const value = create(SetRouteSchema, {
		route: requireOption(name, 'The name of the route'),
		workspace: requireOption(options.workspace, '--workspace'),
		database: requireOption(options.database, '--database'),
		sql: requireOption(options.sql, '--sql'),
		freshness: requireOption(options.freshness, '--freshness'),
	});
	await sendChange({case: 'setRoute', value}, options);
}

async function listRoutes(_name: string | undefined, options: Options): Promise<void> {
	const {routes} = await readKnownConfiguration(options);
	const rows = Array.from(routes, ([route, {workspace, database, sql}]) => ({
		route, workspace, database, sql,
	}));
	printTable(rows, options.json === true);
}
