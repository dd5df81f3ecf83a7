import type {ChildProcess} from 'node:child_process';
import type {InstanceStandIn} from './instance-stand-in.ts';
import type {StoreStandIn} from './store-stand-in.ts';

/** A host that runs as a process. */
type WireHost = {
	readonly name: string;
	readonly process: ChildProcess;
	/** Port for the sessions of callers. */
	readonly port: number;
	readonly readyPort: number;
	/** What the process has written. */
	readonly output: () => string;
};

/** Hosts as processes over stand-ins of the platform. */
export type WireDeployment = {
	readonly store: StoreStandIn;
	readonly instances: readonly InstanceStandIn[];
	readonly hosts: readonly WireHost[];
	/** Orders of promotion that were taken: instance and fencing token. */
	readonly promotions: () => ReadonlyArray<{readonly id: string; readonly token: number}>;
	/** Waits until all hosts are ready. */
	readonly waitUntilReady: () => Promise<void>;
	/** Changes the operators' configuration. */
	readonly configure: (change: {readonly keys: readonly string[]}) => void;
	readonly stop: () => void;
};
