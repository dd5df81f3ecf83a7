import type {ChangeResponse} from '@sapphirefall/wire';
import type {CallerStream} from '../stand-ins/cluster/caller-stream.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {TimedResponse} from './timed-response.ts';
import type {Scenario} from './scenario.ts';
import type {WriteOutcome} from './write-outcome.ts';
import type {Transcript} from './transcript.ts';

/** State that the steps of a scenario share. */
export type ScenarioContext = {
	readonly cluster: Cluster;
	readonly transcript: Transcript;
	/** Session tokens, by the session's name. */
	readonly sessions: Map<string, string>;
	/** Open streams of callers, by `HOST KEY`. */
	readonly streams: Map<string, CallerStream>;
	/** Calls that run in the background, by name. */
	readonly calls: Map<string, Promise<TimedResponse>>;
	/** Configuration changes that run in the background, by name. */
	readonly changes: Map<string, Promise<ChangeResponse>>;
	/** Running and finished writes by the name of their step, with the key that they are sent with. */
	readonly writes: Map<string, Promise<{readonly key: string; readonly writes: readonly WriteOutcome[]}>>;
	/** Reads of the bursts so far that were done, by key, and when the first of these bursts began, in milliseconds of the monotonic clock. */
	readonly bursts: Map<string, {readonly startedAt: number; readonly done: number}>;
	/** Keys that changes have added so far. */
	readonly keys: Set<string>;
	/** Hosts that a `loseAcceptors` step has killed. */
	readonly killedHosts: Set<string>;
	readonly scenario: Scenario;
};
