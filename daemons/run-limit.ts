import {create} from '@bufbuild/protobuf';
import {resultCodes} from '@sapphirefall/decisions';
import {SetWorkspaceSchema} from '@sapphirefall/wire';
import {CommandError} from './command-error.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {readonly rate?: number; readonly burst?: number};

/** Runs `sapphirefall limit`: changes the rate, the burst or both of a workspace and leaves the rest. */
export async function runLimit(workspace: string, options: Options): Promise<void> {
	const known = await readKnownConfiguration(options);
	const old = known.workspaces[workspace];
	if (old === undefined) {
		throw new CommandError(resultCodes.nameUnknown, `The workspace "${workspace}" does not exist`);
	}

	const value = create(SetWorkspaceSchema, {
		workspace, rate: options.rate ?? old.rate, burst: options.burst ?? old.burst, databases: [...old.databases],
	});
	await sendChange({case: 'setWorkspace', value}, {...options, basedOn: options.basedOn ?? known.version});
}
