import type {Access} from './access.ts';
import type {Caller} from './caller.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {InstanceRuntime} from './instance-runtime.ts';

type Options = {
	readonly findInstance: (group: string, id: string) => InstanceRuntime | undefined;
	readonly findAccess: (caller: Caller) => Access;
};

/** What a host does for others that send work to instances through it. */
type Gateway = {
	/** Runs a job of another host; refuses those that begin something once the gateway is closed. */
	readonly runJob: FleetPeer['runJob'];
	/** Takes no new work; transactions that are open may end. */
	readonly close: () => void;
	/** Jobs and transactions under way. */
	readonly countActive: () => number;
};

/**
 * Creates the gateway of a host.
 *
 * A message may be held up on its way for longer than a key or a right lasts. So the gateway asks again, by what it
 * knows itself, before it sends anything for a caller.
 */
export function createGateway({findInstance, findAccess}: Options): Gateway {
	let running = 0;
	const transactions = new Set<number>();
	let isClosed = false;

	return {
		async runJob({group, id}, job) {
			const instance = findInstance(group, id);
			const isNew = job.kind === 'single' || job.kind === 'begin' || job.kind === 'position';
			if (instance === undefined || (isClosed && isNew)) {
				return 'notServed';
			}

			running++;
			const answer = await instance.runLocally(job, () => 'caller' in job && findAccess(job.caller).kind === 'allowed');
			running--;
			if (answer.kind === 'answered' && answer.transaction !== undefined) {
				transactions.add(answer.transaction);
			}

			const isOver = 'transaction' in job && (job.kind !== 'within' || answer.kind === 'notSent');
			if (isOver) {
				transactions.delete(job.transaction);
			}

			return answer;
		},
		close() {
			isClosed = true;
		},
		countActive: () => running + transactions.size,
	};
}
