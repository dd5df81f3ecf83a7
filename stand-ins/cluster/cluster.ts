import process from 'node:process';
import type {Client} from '@connectrpc/connect';
import type {
	CallerService, EndpointFaultService, OperatorService, PlatformFaultService,
} from '@sapphirefall/wire';
import type {LinkFault} from '../links/link-fault.ts';
import type {CallerStream} from './caller-stream.ts';
import type {Child} from './child.ts';

/**
 * A running cluster: a platform, database groups and entry hosts, each in its own process.
 *
 * Connections between members pass through relays, one for each pair of source zone and target process.
 */
export type Cluster = {
	readonly hosts: readonly string[];
	readonly instances: readonly string[];
	/** Creates a client of a host for a caller with this key. An empty key sends no credentials. */
	readonly caller: (host: string, key: string) => Client<typeof CallerService>;
	/** Opens a stream to a host for a caller with this key. */
	readonly openStream: (host: string, key: string) => CallerStream;
	readonly operator: (host: string) => Client<typeof OperatorService>;
	/** Creates a client that injects faults into the answers of an instance. */
	readonly endpoint: (instance: string) => Client<typeof EndpointFaultService>;
	/** Client that injects faults into the platform. */
	readonly platform: Client<typeof PlatformFaultService>;
	/** Returns the URL at which callers reach a host. */
	readonly callerUrl: (host: string) => string;
	/** Returns the URL at which operators reach a host. */
	readonly operatorUrl: (host: string) => string;
	/** Returns the URL of an instance that bypasses the relays. */
	readonly instanceUrl: (instance: string) => string;
	readonly operatorToken: string;
	/** Returns the child process with this identifier. */
	readonly child: (process: string) => Child;
	/** Restarts a process that has exited. */
	readonly restart: (process: string) => void;
	/** Changes the fault of the link from a zone to a process. Omitted properties keep their values. */
	readonly setFault: (from: string, process: string, fault: Partial<LinkFault>) => void;
	/** Starts or ends a network partition, in both directions, between a zone and all other zones. Links to the platform are unaffected. */
	readonly setZonePartitioned: (zone: string, isPartitioned: boolean) => void;
	/** Closes the open connections from a zone to a process. */
	readonly resetLink: (from: string, process: string) => void;
	/** Discards all further bytes on the open connections from a zone to a process. New connections work. */
	readonly muteLink: (from: string, process: string) => void;
	readonly findZone: (process: string) => string;
	readonly stop: () => Promise<void>;
};

