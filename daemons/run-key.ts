import {createHash, randomBytes} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {AddKeySchema, WithdrawKeySchema} from '@sapphirefall/wire';
import {chooseAction} from './choose-action.ts';
import {printTable} from './print-table.ts';
import {readKnownConfiguration} from './read-known-configuration.ts';
import {requireOption} from './require-option.ts';
import {sendChange} from './send-change.ts';
import type {OperatorOptions} from './operator-options.ts';

type Options = OperatorOptions & {readonly workspace?: string};

/** Number of random bytes in a new key. */
const keyBytes = 24;

/** Runs `sapphirefall key`: creates, withdraws or lists keys. The key is generated and printed here; the fleet stores only its digest. */
export async function runKey(action: string, name: string | undefined, options: Options): Promise<void> {
	await chooseAction(action, {give: giveKey, withdraw: withdrawKey, list: listKeys})(name, options);
}

async function giveKey(name: string | undefined, options: Options): Promise<void> {
	const key = randomBytes(keyBytes).toString('base64url');
	const value = create(AddKeySchema, {
		workspace: requireOption(options.workspace, '--workspace'),
		keyId: requireOption(name, 'The name of the key'),
		digest: createHash('sha256').update(key).digest('hex'),
	});
	await sendChange({case: 'addKey', value}, options);
	console.log(options.json === true ? JSON.stringify({key}) : `The key, shown only now: ${key}`);
}

async function withdrawKey(name: string | undefined, options: Options): Promise<void> {
	const value = create(WithdrawKeySchema, {keyId: requireOption(name, 'The name of the key')});
	await sendChange({case: 'withdrawKey', value}, options);
}

async function listKeys(_name: string | undefined, options: Options): Promise<void> {
	const {keys} = await readKnownConfiguration(options);
	printTable(Array.from(keys, ([key, workspace]) => ({key, workspace})), options.json === true);
}
