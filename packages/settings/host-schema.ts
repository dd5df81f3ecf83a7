import {z} from 'zod';

const address = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'must be an IP address and a port, such as 10.0.0.1:7001');
const url = z.string().regex(/^https?:\/\/\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'must be a URL with an IP address and a port, such as http://10.0.0.1:7000');
const name = z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'must be of a-z, 0-9 and -');

const milliseconds = (fallback: number, description: string) =>
	z.number().int().min(1).max(3_600_000).default(fallback).describe(`Milliseconds. ${description}`);

/** The checked schema of an entry host's settings. Each setting's description names its unit. */
export const hostSchema = z.strictObject({
	host: z.strictObject({
		id: name.describe('Name. Unique in the fleet; the platform lists the host under it.'),
		zone: name.describe('Name. Availability zone of the host.'),
	}),
	listen: z.strictObject({
		callers: address.describe('Address. HTTP/1.1 for callers: Connect and JSON.'),
		streams: address.optional().describe('Address. HTTP/2 for callers: Connect and gRPC, unary and streaming.'),
		hosts: address.describe('Address. HTTP/2 for other entry hosts.'),
		operators: address.describe('Address. HTTP/1.1 for operators: Connect and JSON, metrics, health.'),
	}),
	platform: z.strictObject({
		address: url.describe('URL. The platform\'s table, object store and list.'),
		timeout: milliseconds(1000, 'Time for an answer of the platform.'),
		fleetInterval: milliseconds(2000, 'Between two reads of the platform\'s list.'),
		versionInterval: milliseconds(250, 'Between two reads of the configuration\'s version by a reader of the zone.'),
		versionFallback: milliseconds(1500, 'Age of the configuration\'s proof at which a host that is no reader reads it itself.'),
	}),
	secrets: z.strictObject({
		session: z.string().min(32).describe('Text of 32 characters or more, the same on all hosts. Authenticates session tokens.'),
		operatorDigest: z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 digest in hexadecimal')
			.describe('SHA-256 of the operator token, in hexadecimal.'),
	}),
	requests: z.strictObject({
		defaultDeadline: milliseconds(5000, 'Deadline of a request that names none.'),
		longestDeadline: milliseconds(30_000, 'Longest deadline that a request may name.'),
		largest: z.number().int().min(1024).max(67_108_864).default(1_048_576).describe('Bytes. Largest request.'),
	}).prefault({}),
	keys: z.strictObject({
		staleAfter: milliseconds(4000, 'Age of the configuration\'s proof after which keyed requests are refused.'),
		wordSpan: milliseconds(900_000, 'Time without the platform\'s table after which the word of an acceptor no longer counts as proof.'),
	}).prefault({}),
	rate: z.strictObject({
		reserve: z.number().min(0).max(1).default(0.2).describe('Share of each rate and burst that is split evenly over the hosts; the rest lies with the workspace\'s home.'),
		reserveSpan: milliseconds(600_000, 'Time after its last proof of the roster for which a host uses its share of the reserves, and until a new host may.'),
		loanSpan: milliseconds(400, 'Time for which units on loan may be used.'),
		standby: z.number().min(0).max(0.5).default(0.25).describe('Share of each burst that lies with a second host, which lends it when the workspace\'s home cannot.'),
		standbySpan: milliseconds(4000, 'Time for which the standby may lend its share; longer than a new home takes to begin.'),
		prefetch: z.number().int().min(0).max(10_000).default(250).describe('Milliseconds of recent demand that a loan covers ahead.'),
		proofLimit: milliseconds(1200, 'Age of the roster\'s proof at which a host stops lending and using units.'),
		longestWait: milliseconds(500, 'Longest time that a request waits for units that its rate does not give yet, before it is refused.'),
	}).prefault({}),
	idempotency: z.strictObject({
		retention: z.number().int().min(60_000).max(31_536_000_000).default(86_400_000)
			.describe('Milliseconds. Time for which the result of a write is kept under its idempotency key.'),
	}).prefault({}),
	endpoints: z.strictObject({
		connections: z.number().int().min(1).max(1000).default(6).describe('Number. Connections that a gateway keeps open to each instance it uses.'),
		directConnections: z.number().int().min(1).max(1000).default(1).describe('Number. Connections that a host opens to an instance whose gateway it cannot reach.'),
		idleSpan: milliseconds(10_000, 'Time without use after which the connections to an instance are closed.'),
		heartbeatInterval: milliseconds(400, 'Between two heartbeats on a connection.'),
		silenceLimit: milliseconds(1200, 'Time without any answer after which a connection is closed and replaced.'),
		reconnectDelay: milliseconds(200, 'Until the next attempt after a connection could not be opened.'),
		commandTimeout: milliseconds(400, 'Time for an answer to a command of failover.'),
	}).prefault({}),
	control: z.strictObject({
		tickInterval: milliseconds(20, 'Between two steps of the control loop.'),
		probeInterval: milliseconds(100, 'Between two probes of a group that is watched or in use.'),
		demandSpan: milliseconds(5000, 'Time after its last request for which a group counts as in use.'),
		exchangeInterval: milliseconds(100, 'Between two exchanges with other hosts.'),
		exchangeTimeout: milliseconds(300, 'Time for an answer of another host.'),
	}).prefault({}),
	failover: z.strictObject({
		suspectAfter: milliseconds(500, 'Silence of a primary after which it is suspected.'),
		stepTimeout: milliseconds(500, 'Time for one attempt at agreement, fencing or promotion.'),
		stagger: milliseconds(200, 'Delay before a watcher acts, for each watcher ranked before it.'),
	}).prefault({}),
	drain: z.strictObject({
		timeout: milliseconds(30_000, 'Longest time for running requests to finish at shutdown.'),
	}).prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Name. Least level of the log lines to write.'),
	}).prefault({}),
});
