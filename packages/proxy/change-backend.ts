import type {Change, FleetConfiguration} from '@sapphirefall/decisions';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChangeRequest, ChangeResponseSchema} from '@sapphirefall/wire';

type Outcome = MessageInitShape<typeof ChangeResponseSchema>;

/** Commits changes to the platform's table, from this host or through an acceptor. */
export type ChangeBackend = {
	/** Commits an operator's change; forwards it to an acceptor when this host is not one. */
	readonly change: (request: ChangeRequest, change: Change) => Promise<Outcome>;
	/** Commits a change that another host forwarded. */
	readonly handleForwardedChange: (request: ChangeRequest) => Promise<Outcome>;
	/** Commits a roster, unless the table has changed since this host's version. */
	readonly changeRoster: (roster: Omit<FleetConfiguration['roster'], 'head' | 'epoch'>) => Promise<void>;
	/** Reads the table and dispatches its content to the control loop; false when the read fails. */
	readonly readVersion: () => Promise<boolean>;
};
