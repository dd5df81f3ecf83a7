import type {Job} from '@sapphirefall/sessions';
import {decodePoint, JobKind, type RunJobRequest} from '@sapphirefall/wire';

/** Decodes a job that another host sends to this host, the gateway of an instance. Throws if the kind of job is unspecified. */
export function decodeJob(message: RunJobRequest): Job {
	const base = {
		workspace: message.workspace,
		priority: message.priority,
		caller: {database: message.database, keyDigest: message.keyDigest},
		timeout: message.timeoutMs,
		...message.targetLatencyMs !== undefined && {targetLatency: message.targetLatencyMs},
	};
	const transaction = Number(message.transaction);
	const after = message.after && decodePoint(message.after);
	switch (message.kind) {
		case JobKind.SINGLE: {
			return {
				...base, kind: 'single', ...decodeQuery(message), after,
			};
		}

		case JobKind.BEGIN:
		case JobKind.BEGIN_READ: {
			return {
				...base, kind: 'begin', setup: decodeSetup(message), isReadOnly: message.kind === JobKind.BEGIN_READ, after, idleLimit: message.idleLimitMs,
			};
		}

		case JobKind.WITHIN: {
			return {
				...base, kind: 'within', transaction, ...decodeQuery(message),
			};
		}

		case JobKind.COMMIT: {
			return {
				...base, kind: 'commit', transaction, id: message.id, text: message.text, ...message.values.length > 0 && {setup: decodeSetup(message)},
			};
		}

		case JobKind.ROLLBACK: {
			return {kind: 'rollback', transaction};
		}

		case JobKind.POSITION: {
			return {kind: 'position', workspace: message.workspace};
		}

		case JobKind.UNSPECIFIED: {
			throw new Error('the kind of job is unspecified');
		}
	}
}

type QueryParts = Pick<Extract<Job, {readonly kind: 'within'}>, 'setup' | 'query'>;

function decodeSetup({values, prepared}: RunJobRequest): QueryParts['setup'] {
	return {
		variables: decodeVariables(values),
		prepared: new Map(prepared === undefined ? [] : [[prepared.name, {access: decodeAccess(prepared.isWrite), shape: prepared.shape}]]),
	};
}

function decodeVariables(values: RunJobRequest['values']): QueryParts['setup']['variables'] {
	const variables = new Map<string, string>();
	for (const {name, value} of values) {
		variables.set(name, value);
	}

	return variables;
}

function decodeQuery(message: RunJobRequest): QueryParts {
	const {id, text, isWrite, prepared, parameters} = message;
	return {
		setup: decodeSetup(message),
		query: {
			id, text, access: decodeAccess(isWrite), execute: prepared && {name: prepared.name, parameters},
		},
	};
}

function decodeAccess(isWrite: boolean): QueryParts['query']['access'] {
	return isWrite ? 'write' : 'read';
}
