import {create} from '@bufbuild/protobuf';
import {resultCodes} from '@sapphirefall/decisions';
import {SetWorkspaceSchema} from '@sapphirefall/wire';
import {CommandError} from './command-error.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {readonly rate?: number; readonly burst?: number};

/** Runs `sapphirefall limit`: changes the rate, the burst or both of a workspace and keeps its other values. */
export async function runLimit(workspace: string, options: Options): Promise<void> {
	const known = await readKnownConfiguration(options);
	const previous = known.workspaces.get(workspace);
	if (previous === undefined) {
		throw new CommandError(resultCodes.nameUnknown, `The workspace "${workspace}" does not exist`);
	}

	const value = create(SetWorkspaceSchema, {
		workspace, rate: options.rate ?? previous.rate, burst: options.burst ?? previous.burst, databases: [...previous.databases],
	});
	await sendChange({case: 'setWorkspace', value}, {...options, basedOn: options.basedOn ?? known.version});
}
