import {connect} from 'node:net';
import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import type {FleetPeer, SessionLog, StoreTable} from '@sapphirefall/sessions';
import {
	FleetRequestSchema, FleetResponseSchema, type FleetResponse, type ReadTablesResponse,
} from '@sapphirefall/wire';
import {createCallChannel} from './create-call-channel.ts';
import {decodeFenceAnswer} from './decode-fence-answer.ts';
import {decodeJobAnswer} from './decode-job-answer.ts';
import {decodeMark} from './decode-mark.ts';
import {decodePosition} from './decode-position.ts';
import {encodeJob} from './encode-job.ts';
import {encodeMark} from './encode-mark.ts';

type Options = {
	/** Milliseconds after which a call is given up, in addition to the time that the call may wait at the other host. Jobs and pings have timeouts of their own. */
	readonly timeoutMs: number;
	/** Milliseconds without data after which the connection is closed. */
	readonly idleTimeoutMs: number;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	readonly log: SessionLog;
	/** Called with the bytes that were read. */
	readonly onBytes?: (bytes: number) => void;
};

/** Milliseconds added to the timeout of a job for the network round trip. */
const roundTripMarginMs = 150;

/** Milliseconds within which a host must answer a ping to count as reachable. */
const pingTimeoutMs = 300;

/** Timeout in milliseconds of jobs without a timeout of their own. */
const defaultJobTimeoutMs = 1000;

type PeerTables = NonNullable<Awaited<ReturnType<FleetPeer['readTables']>>>;

type Call = NonNullable<MessageInitShape<typeof FleetRequestSchema>['call']>;

/**
 * Creates a client for the session calls of another host. All calls share one connection.
 *
 * @param address TCP address on which the host serves calls.
 */
export function createFleetPeer(address: {readonly host: string; readonly port: number}, {
	timeoutMs, idleTimeoutMs, now, log, onBytes,
}: Options): FleetPeer {
	const encode = (call: Call) => (id: number) => toBinary(FleetRequestSchema, create(FleetRequestSchema, {id, call}));
	const encodePing = encode({case: 'ping', value: {}});
	const channel = createCallChannel<FleetResponse>({
		connect: () => connect({...address, noDelay: true}),
		decode: message => fromBinary(FleetResponseSchema, message),
		findLastRead: ({answer}) => answer.case === 'goAway' ? answer.value.lastId : undefined,
		encodePing,
		idleTimeoutMs,
		now,
		...onBytes && {onBytes},
		onProtocolError(reason) {
			log.warn({...address, reason}, 'peer: The host closes the connection to another host, which sent an invalid message.');
		},
	});

	/** Sends a call; `waitMs` is the time that the other host may wait before it answers. */
	const send = async (call: Call, waitMs = 0) => {
		const outcome = await channel(encode(call), {timeoutMs: timeoutMs + waitMs, hasKeepalive: false});
		return outcome.kind === 'answered' ? outcome.response.answer : undefined;
	};

	return {
		async readTables(requested, waitMs) {
			const answer = await send({
				case: 'readTables',
				value: {tables: [...requested].map(([table, {mark, age}]) => ({table, ageMs: age, ...mark && {mark: encodeMark(mark)}})), waitMs},
			}, waitMs);
			return answer?.case === 'readTables'
				? {tables: decodeTables(answer.value), positions: answer.value.samples.map(sample => decodePosition(sample)), waitedMs: answer.value.waitedMs}
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

			const {home, shares, spanMs, unsettled} = answer.value;
			return home
				? {grants: new Map(shares.map(({workspace, rate, units}) => [workspace, {rate, units}])), spanMs, isSettled: !unsettled}
				: 'notAllocator';
		},
		async fenceGroup(group, epoch) {
			const answer = await send({case: 'fenceGroup', value: {group, epoch: BigInt(epoch)}});
			return answer?.case === 'fenceGroup' ? decodeFenceAnswer(answer.value) : undefined;
		},
		async confirmSilence(group, instance) {
			const answer = await send({case: 'confirmSilence', value: {group, instance}});
			return answer?.case === 'confirmSilence' ? answer.value.silent : undefined;
		},
		async runJob(instance, job) {
			const jobTimeoutMs = ('timeout' in job ? job.timeout : defaultJobTimeoutMs) + roundTripMarginMs;
			const outcome = await channel(encode({case: 'runJob', value: encodeJob(instance, job)}), {timeoutMs: jobTimeoutMs, hasKeepalive: true});
			if (outcome.kind === 'tooLong') {
				return {kind: 'notSent', reason: 'the job is too long for a message between hosts'};
			}

			if (outcome.kind !== 'answered') {
				return outcome.kind === 'notSent' ? 'notServed' : undefined;
			}

			const {answer} = outcome.response;
			return answer.case === 'runJob' ? decodeJobAnswer(answer.value) : undefined;
		},
		async ping() {
			const {kind} = await channel(encodePing, {timeoutMs: pingTimeoutMs, hasKeepalive: false});
			return kind === 'answered';
		},
	};
}

function decodeTables({tables}: ReadTablesResponse): PeerTables['tables'] {
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
