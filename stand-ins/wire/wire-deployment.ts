import type {HostLinks} from './host-links.ts';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import type {StoreStandIn} from './store-stand-in.ts';
import type {WireHost} from './wire-host.ts';

/** Host processes with a simulated platform. */
export type WireDeployment = {
	readonly store: StoreStandIn;
	readonly groups: readonly InstanceGroup[];
	/** Instances of the first group. */
	readonly instances: readonly InstanceStandIn[];
	readonly hosts: readonly WireHost[];
	/** Returns the availability zone of a host, by its index. */
	readonly findZone: (index: number) => string;
	/** Relays between each host and the platform, by the index of the host; none unless the deployment has links. */
	readonly hostLinks: readonly HostLinks[];
	/** Returns the promotions that the simulated cloud API accepted, each with its fencing token. */
	readonly promotions: () => ReadonlyArray<{readonly id: string; readonly token: number}>;
	/** Changes the milliseconds between an accepted promotion and its effect. */
	readonly setPromotionDelay: (delay: number) => void;
	/** Waits until the readiness check of every host succeeds. */
	readonly waitUntilReady: () => Promise<void>;
	/** Kills the process of a host, starts it again at other ports, and waits until its readiness check succeeds. */
	readonly restart: (index: number) => Promise<void>;
	/** Writes a new version of the configuration, with these keys of callers, and with or without the database `guest` (the default). */
	readonly configure: (change: {readonly keys: readonly string[]; readonly hasGuestRoute?: boolean}) => void;
	/** Lists an instance of the first group as departing, as before planned work, until another one is promoted. */
	readonly drain: (instance: InstanceStandIn) => void;
	readonly stop: () => void;
};
