import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Job} from '@sapphirefall/sessions';
import {
	JobKind, type RunJobRequest, type RunJobRequestSchema, type SessionVariable,
} from '@sapphirefall/wire';

type Message = Exclude<MessageInitShape<typeof RunJobRequestSchema>, RunJobRequest>;

type Variables = Extract<Job, {readonly kind: 'begin'}>['setup']['variables'];

/** Name of a variable that an earlier version, which keeps variables in a plain object, loses without an error. */
const formerlyLostName = '__proto__';

/** Encodes a job for the gateway of an instance. Of the prepared statements, only the one that the job executes is sent. */
export function encodeJob({group, id}: {readonly group: string; readonly id: string}, job: Job): Message {
	return {
		group, ...encodeInstance(id, job), ...encodeBase(job), ...encodeDetails(job),
	};
}

/**
 * Encodes the name of the instance. A gateway of an earlier version refuses a job with variables that it would lose, since
 * the job names its instance in a field that this gateway does not know.
 */
function encodeInstance(instance: string, job: Job): Message {
	const setup = 'setup' in job ? job.setup : undefined;
	if (job.kind === 'commit' && setup !== undefined) {
		return {commitInstance: {instance}};
	}

	return setup?.variables.has(formerlyLostName) ? {exactInstance: {instance}} : {instance};
}

function encodeBase(job: Job): Message {
	if (!('caller' in job)) {
		return {};
	}

	const {workspace, priority, caller: {database, keyDigest}, timeout, targetLatency} = job;
	return {
		workspace, priority, database, keyDigest, timeoutMs: timeout, ...targetLatency !== undefined && {targetLatencyMs: targetLatency},
	};
}

function encodeDetails(job: Job): Message {
	switch (job.kind) {
		case 'single': {
			return {
				kind: JobKind.SINGLE, ...encodeQueryParts(job), ...job.after && {after: job.after},
			};
		}

		case 'begin': {
			return {
				kind: job.isReadOnly ? JobKind.BEGIN_READ : JobKind.BEGIN,
				values: encodeVariables(job.setup.variables),
				idleLimitMs: job.idleLimit,
				...job.after && {after: job.after},
			};
		}

		case 'within': {
			return {kind: JobKind.WITHIN, transaction: BigInt(job.transaction), ...encodeQueryParts(job)};
		}

		case 'commit': {
			return {
				kind: JobKind.COMMIT,
				transaction: BigInt(job.transaction),
				id: job.id,
				text: job.text,
				...job.setup && {values: encodeVariables(job.setup.variables)},
			};
		}

		case 'rollback': {
			return {kind: JobKind.ROLLBACK, transaction: BigInt(job.transaction)};
		}

		case 'position': {
			return {kind: JobKind.POSITION, workspace: job.workspace};
		}
	}
}

function encodeQueryParts({setup, query}: Pick<Extract<Job, {readonly kind: 'within'}>, 'setup' | 'query'>): Message {
	const {id, text, access, execute} = query;
	const prepared = execute && setup.prepared.get(execute.name);
	return {
		values: encodeVariables(setup.variables),
		id,
		text,
		isWrite: access === 'write',
		...execute && prepared && {
			prepared: {name: execute.name, isWrite: prepared.access === 'write', shape: prepared.shape},
			parameters: execute.parameters,
		},
	};
}

/** Encodes variables as whole messages, which the library takes over without a copy. */
function encodeVariables(variables: Variables): SessionVariable[] {
	const values: SessionVariable[] = [];
	for (const [name, value] of variables) {
		values.push({$typeName: 'sapphirefall.v1.SessionVariable', name, value});
	}

	return values;
}
