import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {
	AddKeySchema, SetExceptionSchema, SetFreshnessSchema, SetRouteSchema, SetWorkspaceSchema, WithdrawKeySchema,
	type ChangeRequest,
} from '@sapphirefall/wire';
import type {Step} from './step.ts';

/** Creates the configuration change that a step describes. */
export function createChange(change: NonNullable<Step['change']>): ChangeRequest['change'] {
	if (change.workspace !== undefined) {
		const {name: workspace, rate, burst, databases} = change.workspace;
		return {
			case: 'setWorkspace', value: create(SetWorkspaceSchema, {
				workspace, rate, burst, databases,
			}),
		};
	}

	if (change.key !== undefined) {
		const {name, workspace} = change.key;
		const digest = createHash('sha256').update(name).digest('hex');
		return {case: 'addKey', value: create(AddKeySchema, {workspace, keyId: name.toLowerCase(), digest})};
	}

	if (change.withdraw !== undefined) {
		return {case: 'withdrawKey', value: create(WithdrawKeySchema, {keyId: change.withdraw.toLowerCase()})};
	}

	if (change.freshness !== undefined) {
		return {case: 'setFreshness', value: create(SetFreshnessSchema, change.freshness)};
	}

	if (change.exception !== undefined) {
		return {case: 'setException', value: create(SetExceptionSchema, change.exception)};
	}

	return {case: 'setRoute', value: create(SetRouteSchema, change.route ?? {})};
}
