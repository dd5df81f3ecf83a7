import type {LogPoint} from '@sapphirefall/decisions';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceHealth} from './instance-health.ts';
import type {InstancePool} from './instance-pool.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {JobRunner} from './job-runner.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {PooledLink} from './pooled-link.ts';
import type {DispatchJob} from './dispatch-job.ts';

/** An instance as a host uses it. */
export type InstanceRuntime = {
	readonly listed: () => ListedInstance;
	readonly update: (listed: ListedInstance) => void;
	readonly health: () => InstanceHealth;
	/** This host's own connections. */
	readonly pool: InstancePool;
	/** Sends a request on an own connection and gives it up after `timeout` milliseconds, which closes the connection. */
	readonly send: (link: PooledLink, request: InstanceRequest, timeout: number) => Promise<InstanceAnswer>;
	/** Runs a job on an own connection or through a gateway. */
	readonly run: DispatchJob;
	/** Makes sure that the gateway of a workspace answers, before a write needs to know. */
	readonly reach: (workspace: string) => void;
	/** Runs a job on an own connection. */
	readonly runLocally: JobRunner;
	/** Takes note that the instance said it lacks a position. */
	readonly noteLag: (lacks: LogPoint) => void;
};
