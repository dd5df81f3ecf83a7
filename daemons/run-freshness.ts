import {create} from '@bufbuild/protobuf';
import {formatFreshness} from '@sapphirefall/decisions';
import {SetExceptionSchema, SetFreshnessSchema} from '@sapphirefall/wire';
import {chooseAction} from './choose-action.ts';
import {printTable} from './print-table.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {requireOption} from './require-option.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {
	readonly freshness?: string;
	readonly workspace?: string;
	readonly reason?: string;
};

/** Runs `sapphirefall freshness`: sets the fleet-wide default for a kind of read, sets an exception for a workspace, or lists both. */
export async function runFreshness(action: string, kind: string | undefined, options: Options): Promise<void> {
	await chooseAction(action, {set: setFreshness, except: setException, list: listFreshness})(kind, options);
}

async function setFreshness(kind: string | undefined, options: Options): Promise<void> {
	const value = create(SetFreshnessSchema, {
		kind: requireOption(kind, 'The kind of read'), freshness: requireOption(options.freshness, '--freshness'),
	});
	await sendChange({case: 'setFreshness', value}, options);
}

async function setException(kind: string | undefined, options: Options): Promise<void> {
	const value = create(SetExceptionSchema, {
		kind: requireOption(kind, 'The kind of read'),
		workspace: requireOption(options.workspace, '--workspace'),
		freshness: requireOption(options.freshness, '--freshness'),
		reason: requireOption(options.reason, '--reason'),
	});
	await sendChange({case: 'setException', value}, options);
}

async function listFreshness(_kind: string | undefined, options: Options): Promise<void> {
	const {freshness, exceptions} = await readKnownConfiguration(options);
	const defaults = Array.from(freshness, ([kind, value]) => ({
		kind, workspace: 'all', freshness: formatFreshness(value), reason: '',
	}));
	const others = exceptions.map(({kind, workspace, freshness: value, reason}) => ({
		kind, workspace, freshness: formatFreshness(value), reason,
	}));
	printTable([...defaults, ...others], options.json === true);
}
