import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {FleetPeer, SessionLog, StoreTable} from '@sapphirefall/sessions';
import {
	FleetRequestSchema, FleetResponseSchema, maxFrameBytes, type FleetRequest, type FleetResponse,
} from '@sapphirefall/wire';
import type {CallServerLimits} from './call-server-limits.ts';
import type {CallServer} from './call-server.ts';
import {decodeJob} from './decode-job.ts';
import {decodeMark} from './decode-mark.ts';
import {encodeFenceAnswer} from './encode-fence-answer.ts';
import {encodeJobAnswer} from './encode-job-answer.ts';
import {encodeMark} from './encode-mark.ts';
import {encodePosition} from './encode-position.ts';
import {serveCalls} from './serve-calls.ts';

type Options = {
	readonly own: FleetPeer;
	readonly log: SessionLog;
	/** Defaults to no limits. */
	readonly limits?: CallServerLimits;
};

type Answer = FleetResponse['answer'];

/** Serves the calls that session hosts make to each other with `createFleetPeer`. */
export function serveFleet(address: {readonly host: string; readonly port: number}, {own, log, limits}: Options): CallServer {
	return serveCalls<FleetRequest>(address, {
		...limits && {limits},
		decode: message => fromBinary(FleetRequestSchema, message),
		answer: async request => answerCall(request, own, log),
		encodeGoAway: lastId => toBinary(FleetResponseSchema, create(FleetResponseSchema, {answer: {case: 'goAway', value: {lastId}}})),
		onProtocolError(reason, from) {
			log.warn({from, reason}, 'peer: The host closes the connection of another host, which sent an invalid message or does not read its answers.');
		},
	});
}

/** Runs a call and encodes its answer; the answer is empty if the call fails, its kind is unknown or the answer is too long for a message. */
async function answerCall({id, call}: FleetRequest, own: FleetPeer, log: SessionLog): Promise<Uint8Array> {
	try {
		const answer = await createAnswer(call, own) as Answer;
		const message = toBinary(FleetResponseSchema, create(FleetResponseSchema, {id, answer}));
		if (message.length > maxFrameBytes) {
			throw new Error(`the answer takes ${message.length} bytes`);
		}

		return message;
	} catch (error) {
		log.warn({call: call.case, error: (error as Error).message}, 'peer: The host failed to run a call of another host and sends an empty answer.');
		return toBinary(FleetResponseSchema, create(FleetResponseSchema, {id}));
	}
}

async function createAnswer(call: FleetRequest['call'], own: FleetPeer): Promise<unknown> {
	switch (call.case) {
		case 'readTables': {
			const requested = new Map(call.value.tables.map(({table, mark, ageMs}) => [table as StoreTable, {mark: mark && decodeMark(mark), age: ageMs}]));
			const {tables = [], positions = [], waitedMs = 0} = await own.readTables(requested, call.value.waitMs) ?? {};
			return {
				case: call.case,
				value: {
					waitedMs,
					samples: positions.map(position => encodePosition(position)),
					tables: tables.map(({
						table, version, mark, age, reader, isWhole, rows,
					}) => ({
						table,
						version: BigInt(version),
						mark: encodeMark(mark),
						ageMs: age,
						reader,
						whole: isWhole,
						rows: rows.map(row => ({key: row.key, value: row.value ?? '', version: BigInt(row.version)})),
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
				claims: claims.map(({
					workspace, demand, held, heldMs, needed,
				}) => ({
					workspace, demand, held, heldFor: heldMs, needed,
				})),
			});
			return {
				case: call.case,
				value: shares === undefined || shares === 'notAllocator'
					? {home: false}
					: {
						home: true, shares: [...shares.grants].map(([workspace, grant]) => ({workspace, ...grant})), spanMs: shares.spanMs, unsettled: !shares.isSettled,
					},
			};
		}

		case 'fenceGroup': {
			return {case: call.case, value: encodeFenceAnswer(await own.fenceGroup(call.value.group, Number(call.value.epoch)))};
		}

		case 'confirmSilence': {
			return {case: call.case, value: {silent: await own.confirmSilence(call.value.group, call.value.instance) ?? false}};
		}

		case 'runJob': {
			const {group, instance, exactInstance, commitInstance} = call.value;
			const answer = await own.runJob({group, id: (exactInstance ?? commitInstance)?.instance ?? instance}, decodeJob(call.value));
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
