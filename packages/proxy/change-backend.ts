import type {Change, FleetConfiguration} from '@sapphirefall/decisions';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ChangeRequest, ChangeResponseSchema} from '@sapphirefall/wire';

type Outcome = MessageInitShape<typeof ChangeResponseSchema>;

/** Commits changes through the platform's table, here or at an acceptor. */
export type ChangeBackend = {
	/** Commits an operator's change; passes it on when this host is no acceptor. */
	readonly change: (request: ChangeRequest, change: Change) => Promise<Outcome>;
	/** Commits a change that another host passed on. */
	readonly takeChange: (request: ChangeRequest) => Promise<Outcome>;
	readonly changeRoster: (roster: Omit<FleetConfiguration['roster'], 'head' | 'epoch'>) => Promise<void>;
	/** Reads the table and takes in what it holds. */
	readonly readVersion: () => Promise<boolean>;
};
