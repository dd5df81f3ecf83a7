import type {ChangeResponse} from '@sapphirefall/wire';
import type {CallerStream} from '../stand-ins/cluster/caller-stream.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import type {TimedResponse} from './timed-response.ts';
import type {Scenario} from './scenario.ts';
import type {WriteOutcome} from './write-outcome.ts';
import type {Transcript} from './transcript.ts';

/** What the steps of a scenario share. */
export type ScenarioContext = {
	readonly cluster: Cluster;
	readonly transcript: Transcript;
	readonly sessions: Map<string, string>;
	/** Open streams of callers, by host and key. */
	readonly streams: Map<string, CallerStream>;
	readonly calls: Map<string, Promise<TimedResponse>>;
	readonly changes: Map<string, Promise<ChangeResponse>>;
	/** Writes that run or ran, by the step's name, and the key that they show. */
	readonly writes: Map<string, Promise<{readonly key: string; readonly writes: readonly WriteOutcome[]}>>;
	readonly keys: Set<string>;
	/** Hosts that a `loseAcceptors` step has killed. */
	readonly killedHosts: Set<string>;
	readonly scenario: Scenario;
};
