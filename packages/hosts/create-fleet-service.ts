import {create} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import type {FleetPeer, StoreTable} from '@sapphirefall/sessions';
import {
	FleetResponseSchema, serveMessages, type FleetRequest, type FleetResponse, type SessionHostService,
} from '@sapphirefall/wire';
import {decodeJob} from './decode-job.ts';
import {encodeJobAnswer} from './encode-job-answer.ts';

type Answer = FleetResponse['answer'];

/** Creates the service that hosts which serve sessions offer to each other. */
export function createFleetService(own: FleetPeer): ServiceImpl<typeof SessionHostService> {
	return {
		async * call(messages) {
			yield * serveMessages(messages, async message => answerCall(message, own));
		},
	};
}

/** Answers a call; one that fails gets an empty answer. */
async function answerCall({id, call}: FleetRequest, own: FleetPeer): Promise<FleetResponse> {
	try {
		return create(FleetResponseSchema, {id, answer: await createAnswer(call, own) as Answer});
	} catch {
		return create(FleetResponseSchema, {id});
	}
}

async function createAnswer(call: FleetRequest['call'], own: FleetPeer): Promise<unknown> {
	switch (call.case) {
		case 'readTables': {
			const known = new Map(Object.entries(call.value.changedAt).map(([table, version]) => [table as StoreTable, Number(version)]));
			const {tables = [], positions = [], waited = 0} = await own.readTables(known, call.value.waitMs) ?? {};
			return {
				case: call.case,
				value: {
					waitedMs: waited,
					samples: positions.map(({
						group, epoch, position, age,
					}) => ({
						group, epoch: BigInt(epoch), position, ageMs: age,
					})),
					tables: tables.map(({
						table, version, changedAt, age, rows,
					}) => ({
						table,
						version: BigInt(version),
						changedAt: BigInt(changedAt),
						ageMs: age,
						changed: rows !== undefined,
						rows: rows?.map(row => ({key: row.key, value: row.value ?? '', version: BigInt(row.version)})) ?? [],
					})),
				},
			};
		}

		case 'claimRates': {
			const {
				host, incarnation, partition, epoch, claims,
			} = call.value;
			const shares = await own.claimRates({
				host,
				partition,
				incarnation: Number(incarnation),
				epoch: Number(epoch),
				claims: claims.map(({heldMs, ...claim}) => ({...claim, heldFor: heldMs})),
			});
			return {
				case: call.case,
				value: shares === undefined || shares === 'notHome'
					? {home: false}
					: {home: true, shares: [...shares.grants].map(([workspace, grant]) => ({workspace, ...grant})), spanMs: shares.span},
			};
		}

		case 'fenceGroup': {
			return {case: call.case, value: {fenced: await own.fenceGroup(call.value.group, Number(call.value.epoch)) ?? false}};
		}

		case 'confirmSilence': {
			return {case: call.case, value: {silent: await own.confirmSilence(call.value.group, call.value.instance) ?? false}};
		}

		case 'runJob': {
			const answer = await own.runJob({group: call.value.group, id: call.value.instance}, decodeJob(call.value));
			return {case: call.case, value: encodeJobAnswer(answer)};
		}

		case 'ping': {
			return {case: call.case, value: {}};
		}

		case undefined: {
			return {case: undefined};
		}
	}
}
