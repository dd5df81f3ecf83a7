import type {SoakMessage} from './soak-message.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** A connection of a client of a soak. Times are milliseconds of the steady clock. */
export type SoakSession = {
	readonly client: number;
	/** Process that the client was connected to. */
	readonly host: WireDeployment['hosts'][number];
	readonly database: string;
	readonly key: string;
	readonly openedAt: number;
	/** Transaction state after the start. Empty if the session was not started. */
	readonly startState: string;
	/** In the order sent, which is that of the answers. */
	readonly messages: readonly SoakMessage[];
	readonly closedAt: number;
	readonly isClosedByHost: boolean;
	/** Whether the client stops reading at times, and so sees the end of the connection late. */
	readonly isReadLate: boolean;
};
