import type {LogPoint} from '@sapphirefall/decisions';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {InstancePool} from './pools/instance-pool.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {JobRunner} from './job-runner.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {StatementGate} from './pace/statement-gate.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';
import type {DispatchJob} from './dispatch-job.ts';

/** An instance as this host uses it. */
export type InstanceRuntime = {
	/** Returns the instance as the platform last listed it. */
	readonly listed: () => ListedInstance;
	readonly update: (listed: ListedInstance) => void;
	readonly health: () => InstanceHealth;
	/** Whether the instance counts as cold, so that hosts limit the statements to it together. */
	readonly isCold: () => boolean;
	/** This host's own connections to the instance. */
	readonly pool: InstancePool;
	/** Statements of this host that are in progress or wait, and a way to begin a slow start. */
	readonly pace: Pick<StatementGate, 'readLoad' | 'restart'>;
	/** Sends a request on an own connection; closes the connection if no answer comes within `timeout` milliseconds. */
	readonly send: (pooled: PooledConnection, request: InstanceRequest, timeout: number) => Promise<InstanceAnswer>;
	/** Runs a job on an own connection or through a gateway. */
	readonly run: DispatchJob;
	/** Pings the gateway of a workspace unless it answered lately, so that a following write need not wait for the ping. */
	readonly checkGateway: (workspace: string) => void;
	/** Runs a job on an own connection. */
	readonly runLocally: JobRunner;
	/** Ends the transactions on own connections that run no job: rolls them back, or closes their connections if nothing may be sent. */
	readonly endIdleTransactions: (maySend: boolean) => void;
	/** Records that the instance answered that its log does not hold a position. */
	readonly recordLag: (missingPosition: LogPoint) => void;
};
