import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {AllowedRegions} from './regions/allowed-regions.ts';

/** The gateways of instances, as this host uses them. */
export type Gateways = {
	/** Lists the hosts through which work of a workspace may reach an instance, best first; see `rankGateways`. */
	readonly list: (instance: ListedInstance, workspace: string | undefined) => readonly string[];
	/** Returns the present number of gateways of each instance; see `findGatewayCount`. */
	readonly count: () => number;
	/** Name of this host. */
	readonly self: string;
	/**
	 * Whether a host is skipped for an instance at present, because it is stopping, or lately did not answer, did not serve
	 * a job or could not reach the instance.
	 */
	readonly isAvoided: (host: string, instance: ListedInstance) => boolean;
	/**
	 * Whether a host answers. Pings the host unless it answered recently; an older answer is enough for work that can be
	 * retried elsewhere.
	 */
	readonly isAnswering: (host: string, work: {readonly isRetryable: boolean}) => Promise<boolean>;
	/** Whether a host may receive the text of statements that are restricted to regions; see `isHostAllowed`. */
	readonly mayReceive: (host: string, allowed: AllowedRegions) => boolean;
	/** Pings the gateways in an instance's own zone that have not answered lately, all at once. */
	readonly probe: (instance: ListedInstance) => void;
	/**
	 * Finds since when none of the gateways in an instance's own zone answers, in milliseconds of the steady clock;
	 * undefined if one of them answers or was not asked lately.
	 */
	readonly findSilentSince: (instance: ListedInstance) => number | undefined;
	/** Whether a host of a zone was asked lately and did not answer. */
	readonly hasSilentHost: (zone: string) => boolean;
	/** Sends a job to a host; resolves to undefined when no answer came. */
	readonly runJob: (host: string, instance: ListedInstance, job: Job) => Promise<JobAnswer | 'notServed' | undefined>;
};
