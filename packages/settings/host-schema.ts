import {z} from 'zod';

const address = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'must be an IP address and a port, such as 10.0.0.1:7001');
const url = z.string().regex(/^https?:\/\/\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'must be a URL with an IP address and a port, such as http://10.0.0.1:7000');
const name = z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'must be of a-z, 0-9 and -');

const milliseconds = (fallback: number, description: string) =>
	z.number().int().min(1).max(3_600_000).default(fallback).describe(`Milliseconds. ${description}`);

/** Schema of an entry host's settings file. The description of each setting begins with its unit or type. */
export const hostSchema = z.strictObject({
	host: z.strictObject({
		id: name.describe('Name. Identifies the host in the fleet and in the platform\'s host list; must be unique.'),
		zone: name.describe('Name. Availability zone of the host.'),
	}),
	listen: z.strictObject({
		callers: address.describe('Address. HTTP/1.1 listener for callers: Connect and JSON.'),
		streams: address.optional().describe('Address. HTTP/2 listener for callers: Connect and gRPC, unary and streaming.'),
		hosts: address.describe('Address. HTTP/2 listener for other entry hosts.'),
		operators: address.describe('Address. HTTP/1.1 listener for operators: Connect and JSON, metrics and health checks.'),
	}),
	platform: z.strictObject({
		address: url.describe('URL. Endpoint of the platform\'s table, object store and host list.'),
		timeout: milliseconds(1000, 'Timeout of a call to the platform.'),
		fleetInterval: milliseconds(2000, 'Interval between reads of the platform\'s list of hosts and instances.'),
		versionInterval: milliseconds(250, 'Interval at which the hosts that poll for their zone read the configuration version.'),
		versionFallback: milliseconds(1500, 'Time since the configuration was last confirmed to be the newest after which a host that does not poll for its zone reads the version itself.'),
	}),
	secrets: z.strictObject({
		session: z.string().min(32).describe('Text of at least 32 characters, the same on all hosts. Secret that authenticates session tokens.'),
		operatorDigest: z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 digest in hexadecimal')
			.describe('SHA-256 of the operator token, in hexadecimal.'),
	}),
	requests: z.strictObject({
		defaultDeadline: milliseconds(5000, 'Deadline of a request that does not specify one.'),
		longestDeadline: milliseconds(30_000, 'Maximum deadline that a request may specify.'),
		largest: z.number().int().min(1024).max(67_108_864).default(1_048_576).describe('Bytes. Maximum size of a request.'),
	}).prefault({}),
	keys: z.strictObject({
		staleAfter: milliseconds(4000, 'Time since the configuration was last confirmed to be the newest after which requests with a key are refused.'),
		wordSpan: milliseconds(900_000, 'Time since the platform\'s table last confirmed the configuration to an acceptor after which the acceptor stops confirming it to other hosts.'),
	}).prefault({}),
	rate: z.strictObject({
		reserve: z.number().min(0).max(1).default(0.2).describe('Share of each rate and burst that is reserved and split evenly over the hosts; the workspace\'s home host lends the rest.'),
		reserveSpan: milliseconds(600_000, 'Time after the last confirmation of the roster for which a host may use its share of the reserves; a new host waits as long before it uses one.'),
		loanSpan: milliseconds(400, 'Time for which a host may use units that it borrowed.'),
		standby: z.number().min(0).max(0.5).default(0.25).describe('Share of each burst that a standby host holds, to lend when the workspace\'s home host cannot.'),
		standbySpan: milliseconds(4000, 'Time for which the standby host may lend its share; must exceed the time until a new home host starts to lend.'),
		prefetch: z.number().int().min(0).max(10_000).default(250).describe('Milliseconds. Amount of expected demand, based on recent requests, that a loan covers in advance.'),
		proofLimit: milliseconds(1200, 'Time since the roster was last confirmed to be the newest after which a host stops lending and using units.'),
		longestWait: milliseconds(500, 'Maximum time for which a request that exceeds its workspace\'s rate waits for units before it is refused.'),
	}).prefault({}),
	idempotency: z.strictObject({
		retention: z.number().int().min(60_000).max(31_536_000_000).default(86_400_000)
			.describe('Milliseconds. Retention of the result of a write under its idempotency key.'),
	}).prefault({}),
	endpoints: z.strictObject({
		connections: z.number().int().min(1).max(1000).default(6).describe('Number. Connections that a gateway keeps open to each instance that it uses.'),
		directConnections: z.number().int().min(1).max(1000).default(1).describe('Number. Connections that a host opens to an instance whose gateway it cannot reach.'),
		idleSpan: milliseconds(10_000, 'Idle time after which the connections to an instance are closed.'),
		heartbeatInterval: milliseconds(400, 'Interval between heartbeats on a connection.'),
		silenceLimit: milliseconds(1200, 'Time without an answer after which a connection is closed and replaced.'),
		reconnectDelay: milliseconds(200, 'Delay before the next attempt after a connection could not be opened.'),
		commandTimeout: milliseconds(400, 'Timeout of a failover command to an instance.'),
	}).prefault({}),
	control: z.strictObject({
		tickInterval: milliseconds(20, 'Interval between steps of the control loop.'),
		probeInterval: milliseconds(100, 'Interval between probes of a group that this host monitors or uses.'),
		demandSpan: milliseconds(5000, 'Time after the last request to a group for which the group counts as in use.'),
		exchangeInterval: milliseconds(100, 'Interval between state exchanges with other hosts.'),
		exchangeTimeout: milliseconds(300, 'Timeout of a call to another host.'),
	}).prefault({}),
	failover: z.strictObject({
		suspectAfter: milliseconds(500, 'Time without an answer from a primary after which it is suspected to have failed.'),
		stepTimeout: milliseconds(500, 'Timeout of one attempt to confirm the failure with other hosts, to fence, or to promote.'),
		stagger: milliseconds(200, 'Delay before a monitoring host starts a failover, for each monitoring host that ranks before it.'),
	}).prefault({}),
	drain: z.strictObject({
		timeout: milliseconds(30_000, 'Maximum time that a host waits for running requests at shutdown.'),
	}).prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Name. Minimum level of log lines to write.'),
	}).prefault({}),
});
