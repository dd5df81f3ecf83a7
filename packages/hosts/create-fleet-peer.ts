import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {FleetPeer, StoreTable} from '@sapphirefall/sessions';
import {
	decodePoint, FleetRequestSchema, runWithTimeout, SessionHostService, type FleetRequest, type FleetResponse,
	type Heartbeat, type ReadTablesResponse,
} from '@sapphirefall/wire';
import {createHostChannel} from './create-host-channel.ts';
import {decodeJobAnswer} from './decode-job-answer.ts';
import {encodeJob} from './encode-job.ts';

type Options = {
	/** Milliseconds to wait for an answer. */
	readonly timeout: number;
	/** Milliseconds without a call after which the channel is closed. */
	readonly idleSpan: number;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
};

/** Milliseconds between two signs of life of a host that runs work, and without any after which it counts as silent. */
const workBeat = 250;
const workSilence = 900;

/** Milliseconds beyond the time that work may take, for the way there and back. */
const wayMargin = 150;

/** Milliseconds within which a host must answer whether it answers at all. */
const pingTimeout = 300;

/** Milliseconds for work that names no time of its own. */
const usualJobTimeout = 1000;

type PeerKnowledge = NonNullable<Awaited<ReturnType<FleetPeer['readTables']>>>;

type Call = NonNullable<MessageInitShape<typeof FleetRequestSchema>['call']>;

/**
 * Creates the client of another host that serves sessions. Calls share one stream; one without an answer closes it.
 *
 * @param address URL of the host.
 */
export function createFleetPeer(address: string, {timeout, idleSpan, now}: Options): FleetPeer {
	const openChannel = (heartbeat: Heartbeat<FleetRequest> | undefined) => {
		const channel = createHostChannel<typeof SessionHostService, FleetRequest, FleetResponse>(address, {
			service: SessionHostService,
			open: (client, requests, signal) => client.call(requests, {signal}),
			heartbeat,
			idleSpan,
			now,
		});
		return async (call: Call, options: {readonly timeout: number; readonly closesOnAbort: boolean}) => {
			const response = await runWithTimeout(options.timeout, async signal =>
				channel(id => create(FleetRequestSchema, {id, call}), {signal, closesOnAbort: options.closesOnAbort}));
			return response?.answer;
		};
	};

	const sendControl = openChannel(undefined);
	const sendWork = openChannel({
		createPing: id => create(FleetRequestSchema, {id, call: {case: 'ping', value: {}}}),
		interval: workBeat,
		silenceLimit: workSilence,
		isOnlyWhilePending: true,
	});

	/** Sends a call that may wait for some milliseconds at the other host. */
	const send = async (call: Call, wait = 0) => sendControl(call, {timeout: timeout + wait, closesOnAbort: true});

	return {
		async readTables(changedAt, wait) {
			const answer = await send({
				case: 'readTables',
				value: {changedAt: Object.fromEntries([...changedAt].map(([table, version]) => [table, BigInt(version)])), waitMs: wait},
			}, wait);
			return answer?.case === 'readTables'
				? {tables: decodeTables(answer.value), positions: decodePositions(answer.value), waited: answer.value.waitedMs}
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
			return home ? {grants: new Map(shares.map(({workspace, rate, units}) => [workspace, {rate, units}])), span: spanMs} : 'notHome';
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
			const timeout = ('timeout' in job ? job.timeout : usualJobTimeout) + wayMargin;
			const answer = await sendWork({case: 'runJob', value: encodeJob(instance, job)}, {timeout, closesOnAbort: false});
			return answer?.case === 'runJob' ? decodeJobAnswer(answer.value) : undefined;
		},
		async ping() {
			const answer = await sendWork({case: 'ping', value: {}}, {timeout: pingTimeout, closesOnAbort: true});
			return answer?.case === 'ping';
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
		table, version, changedAt, ageMs, changed, rows,
	}) => ({
		table: table as StoreTable,
		version: Number(version),
		changedAt: Number(changedAt),
		age: ageMs,
		rows: changed ? rows.map(row => ({key: row.key, value: row.value, version: Number(row.version)})) : undefined,
	}));
}
