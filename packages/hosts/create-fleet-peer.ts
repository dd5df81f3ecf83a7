import {connect} from 'node:net';
import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import type {FleetPeer, SessionLog, StoreTable} from '@sapphirefall/sessions';
import {
	decodePoint, FleetRequestSchema, FleetResponseSchema, type FleetResponse, type ReadTablesResponse,
} from '@sapphirefall/wire';
import {createCallChannel} from './create-call-channel.ts';
import {decodeJobAnswer} from './decode-job-answer.ts';
import {decodeMark} from './decode-mark.ts';
import {encodeJob} from './encode-job.ts';
import {encodeMark} from './encode-mark.ts';

type Options = {
	/** Milliseconds to wait for an answer. */
	readonly timeoutMs: number;
	/** Milliseconds without a call after which the connection is closed. */
	readonly idleTimeoutMs: number;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	readonly log: SessionLog;
};

/** Milliseconds beyond the time that work may take, for the way there and back. */
const wayMargin = 150;

/** Milliseconds within which a host must answer whether it answers at all. */
const pingTimeout = 300;

/** Milliseconds for work that names no time of its own. */
const usualJobTimeout = 1000;

type PeerKnowledge = NonNullable<Awaited<ReturnType<FleetPeer['readTables']>>>;

type Call = NonNullable<MessageInitShape<typeof FleetRequestSchema>['call']>;

/**
 * Creates the client of another host that serves sessions. All calls share one connection.
 *
 * @param address Where the host takes calls.
 */
export function createFleetPeer(address: {readonly host: string; readonly port: number}, {
	timeoutMs, idleTimeoutMs, now, log,
}: Options): FleetPeer {
	const encode = (call: Call) => (id: number) => toBinary(FleetRequestSchema, create(FleetRequestSchema, {id, call}));
	const encodePing = encode({case: 'ping', value: {}});
	const channel = createCallChannel<FleetResponse>({
		connect: () => connect({...address, noDelay: true}),
		decode: message => fromBinary(FleetResponseSchema, message),
		encodePing,
		idleSpan: idleTimeoutMs,
		now,
		onBroken(reason) {
			log.warn({...address, reason}, 'peer: Another host sent an answer that cannot be read; the connection is closed.');
		},
	});

	/** Sends a call that may wait for some milliseconds at the other host. */
	const send = async (call: Call, wait = 0) => {
		const outcome = await channel(encode(call), {timeout: timeoutMs + wait, isWatched: false});
		return outcome.kind === 'answered' ? outcome.response.answer : undefined;
	};

	return {
		async readTables(asked, wait) {
			const answer = await send({
				case: 'readTables',
				value: {tables: [...asked].map(([table, {mark, age}]) => ({table, ageMs: age, ...mark && {mark: encodeMark(mark)}})), waitMs: wait},
			}, wait);
			return answer?.case === 'readTables'
				? {tables: decodeTables(answer.value), positions: decodePositions(answer.value), waitedMs: answer.value.waitedMs}
				: undefined;
		},
		async claimRates({
			host, incarnation, partition, epoch, claims,
		}) {
			const answer = await send({
				case: 'claimRates',
				value: {
					host,
					partition,
					incarnation: BigInt(incarnation),
					epoch: BigInt(epoch),
					claims: claims.map(({heldFor, ...claim}) => ({...claim, heldMs: heldFor})),
				},
			});
			if (answer?.case !== 'claimRates') {
				return undefined;
			}

			const {home, shares, spanMs} = answer.value;
			return home ? {grants: new Map(shares.map(({workspace, rate, units}) => [workspace, {rate, units}])), spanMs} : 'notAllocator';
		},
		async fenceGroup(group, epoch) {
			const answer = await send({case: 'fenceGroup', value: {group, epoch: BigInt(epoch)}});
			return answer?.case === 'fenceGroup' ? answer.value.fenced : undefined;
		},
		async confirmSilence(group, instance) {
			const answer = await send({case: 'confirmSilence', value: {group, instance}});
			return answer?.case === 'confirmSilence' ? answer.value.silent : undefined;
		},
		async runJob(instance, job) {
			const jobTimeout = ('timeout' in job ? job.timeout : usualJobTimeout) + wayMargin;
			const outcome = await channel(encode({case: 'runJob', value: encodeJob(instance, job)}), {timeout: jobTimeout, isWatched: true});
			if (outcome.kind !== 'answered') {
				return outcome.kind === 'notSent' ? 'notServed' : undefined;
			}

			const {answer} = outcome.response;
			return answer.case === 'runJob' ? decodeJobAnswer(answer.value) : undefined;
		},
		async ping() {
			const {kind} = await channel(encodePing, {timeout: pingTimeout, isWatched: false});
			return kind === 'answered';
		},
	};
}

function decodePositions({samples}: ReadTablesResponse): PeerKnowledge['positions'] {
	return samples.map(({group, epoch, position, ageMs}) => ({
		group, epoch: Number(epoch), position: decodePoint(position), age: ageMs,
	}));
}

function decodeTables({tables}: ReadTablesResponse): PeerKnowledge['tables'] {
	return tables.map(({
		table, version, mark, ageMs, whole, rows, reader,
	}) => ({
		table: table as StoreTable,
		version: Number(version),
		mark: decodeMark(mark),
		age: ageMs,
		reader,
		isWhole: whole,
		rows: rows.map(row => ({key: row.key, value: row.value, version: Number(row.version)})),
	}));
}
