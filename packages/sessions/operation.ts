import type {Caller} from './caller.ts';
import type {Instant} from './instant.ts';
import type {AllowedRegions} from './regions/allowed-regions.ts';
import type {Route} from './route.ts';
import type {SessionContext} from './session-context.ts';
import type {LastWrite} from './last-write.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionSetup} from './session-setup.ts';
import type {StatementTrace} from './statement-trace.ts';

/** A single statement or a transaction in progress. */
export type Operation = {
	readonly context: SessionContext;
	readonly group: SessionGroup;
	readonly route: Route;
	readonly workspace: string;
	readonly caller: Caller;
	readonly setup: SessionSetup;
	/** When the statement, or the one that began the transaction, arrived. */
	readonly arrivedAt: Instant;
	/** Time by which the current statement must be answered, in milliseconds of the steady clock. */
	readonly deadline: number;
	/** Whether the caller's key is still valid for the workspace, and an answer can be expected before a planned stop ends; checked before each send. */
	readonly isAllowed: () => boolean;
	/** Finds the regions in which the operation may run, as the configuration says now, or said last while the caller had access. */
	readonly findAllowedRegions: () => AllowedRegions;
	/** Whether the operation may reach the instances of an availability zone; checked before each send. */
	readonly mayReachZone: (zone: string) => boolean;
	/** Records whether a write of the statement may take effect at an instance: true when it is sent, false once it is known not to have run. */
	readonly setMayTakeEffect: (mayTakeEffect: boolean) => void;
	/** Returns the session's last write to the operation's group. */
	readonly lastWrite: () => LastWrite | undefined;
	readonly setLastWrite: (lastWrite: LastWrite) => void;
	readonly trace: StatementTrace;
};
