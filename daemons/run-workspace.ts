import {create} from '@bufbuild/protobuf';
import {RemoveWorkspaceSchema, SetWorkspaceSchema} from '@sapphirefall/wire';
import {chooseAction} from './choose-action.ts';
import {printTable} from './print-table.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {requireOption} from './require-option.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {
	readonly rate?: number;
	readonly burst?: number;
	readonly databases?: string;
};

/** Runs `sapphirefall workspace`: sets, removes or lists workspaces. */
export async function runWorkspace(action: string, name: string | undefined, options: Options): Promise<void> {
	await chooseAction(action, {set: setWorkspace, remove: removeWorkspace, list: listWorkspaces})(name, options);
}

async function setWorkspace(name: string | undefined, options: Options): Promise<void> {
	const value = create(SetWorkspaceSchema, {
		workspace: requireOption(name, 'The name of the workspace'),
		rate: requireOption(options.rate, '--rate'),
		burst: requireOption(options.burst, '--burst'),
		databases: requireOption(options.databases, '--databases').split(','),
	});
	await sendChange({case: 'setWorkspace', value}, options);
}

async function removeWorkspace(name: string | undefined, options: Options): Promise<void> {
	const value = create(RemoveWorkspaceSchema, {workspace: requireOption(name, 'The name of the workspace')});
	await sendChange({case: 'removeWorkspace', value}, options);
}

async function listWorkspaces(_name: string | undefined, options: Options): Promise<void> {
	const {workspaces} = await readKnownConfiguration(options);
	const rows = Array.from(workspaces, ([workspace, {rate, burst, databases}]) => ({
		workspace, rate, burst, databases: databases.join(','),
	}));
	printTable(rows, options.json === true);
}
