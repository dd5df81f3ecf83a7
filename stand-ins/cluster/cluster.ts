import process from 'node:process';
import type {Client} from '@connectrpc/connect';
import type {
	CallerService, EndpointFaultService, OperatorService, PlatformFaultService,
} from '@sapphirefall/wire';
import type {LinkFault} from '../links/link-fault.ts';
import type {CallerStream} from './caller-stream.ts';
import type {Child} from './child.ts';

/** A platform, database groups and entry hosts, each a process of its own, with a relay on each link between zones. */
export type Cluster = {
	readonly hosts: readonly string[];
	readonly instances: readonly string[];
	/** Client of a host for callers who show a key; empty for none. */
	readonly caller: (host: string, key: string) => Client<typeof CallerService>;
	/** Opens a stream to a host for callers who show a key. */
	readonly openStream: (host: string, key: string) => CallerStream;
	readonly operator: (host: string) => Client<typeof OperatorService>;
	/** Sets what happens to the answers of an instance. */
	readonly endpoint: (instance: string) => Client<typeof EndpointFaultService>;
	readonly platform: Client<typeof PlatformFaultService>;
	/** URL at which callers reach a host. */
	readonly callerUrl: (host: string) => string;
	/** URL at which operators reach a host. */
	readonly operatorUrl: (host: string) => string;
	/** URL at which an instance is reached without a relay. */
	readonly instanceUrl: (instance: string) => string;
	readonly operatorToken: string;
	readonly child: (process: string) => Child;
	/** Starts a process anew that has ended. */
	readonly restart: (process: string) => void;
	/** Sets the fault of the links from a zone to a process. */
	readonly setFault: (from: string, process: string, fault: Partial<LinkFault>) => void;
	/** Cuts a zone from the processes of all others and theirs from it, or lets them go on. */
	readonly setZonePartitioned: (zone: string, isCut: boolean) => void;
	/** Closes the connections from a zone to a process. */
	readonly resetLink: (from: string, process: string) => void;
	/** Silences the open connections from a zone to a process for good. */
	readonly muteLink: (from: string, process: string) => void;
	readonly findZone: (process: string) => string;
	readonly stop: () => Promise<void>;
};

