import {setTimeout as sleep} from 'node:timers/promises';
import {
	resultCodes, pendingWriteTimeoutMs, type Change, type HostEvent, type HostState,
} from '@sapphirefall/decisions';
import type {EventLog} from '@sapphirefall/events';
import {decodeChange} from '@sapphirefall/operators';
import {
	commitChange, commitRoster, readConfiguration, type CommitOutcome, type PlatformClient,
} from '@sapphirefall/platform';
import type {ChangeRequest} from '@sapphirefall/wire';
import type {ChangeBackend} from './change-backend.ts';
import type {FindPeer} from './find-peer.ts';
import type {HostLog} from './host-log.ts';

type Options = {
	readonly self: string;
	readonly platform: PlatformClient;
	readonly readState: () => HostState;
	readonly dispatch: (event: HostEvent) => void;
	readonly findPeer: FindPeer;
	readonly events: EventLog;
	readonly log: HostLog;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** Creates the backend that commits changes of the configuration and the roster. */
export function createChangeBackend(options: Options): ChangeBackend {
	const {platform, dispatch, log, now} = options;
	let pendingCommits = 0;

	const addPendingCommits = (step: number) => {
		pendingCommits += step;
		dispatch({kind: 'commitChanged', hasPendingCommit: pendingCommits > 0});
	};

	const readVersion = async () => {
		const requestedAt = now();
		try {
			const fleet = await readConfiguration(platform, options.readState());
			dispatch({kind: 'configurationRead', fleet, confirmedAt: requestedAt});
			return true;
		} catch {
			log.debug('platform: Reading the configuration failed.');
			return false;
		}
	};

	/**
	 * Ends a commit whose answer was lost.
	 *
	 * Reads the table after the time in which the write can still take effect, and repeats that until a read succeeds.
	 */
	const settleLostCommit = async () => {
		do {
			await sleep(pendingWriteTimeoutMs); // eslint-disable-line no-await-in-loop -- each read follows a pause
		} while (!await readVersion()); // eslint-disable-line no-await-in-loop

		addPendingCommits(-1);
	};

	const commit = async (request: ChangeRequest, change: Change): Promise<CommitOutcome> => {
		const {changeId, basedOn} = request;
		const requestedAt = now();
		addPendingCommits(1);
		const outcome = await commitChange(platform, {
			change, changeId, basedOn, host: options.self,
		});
		if (outcome.kind === 'committed') {
			dispatch({kind: 'configurationRead', fleet: outcome.fleet, confirmedAt: requestedAt});
			options.events.emit({kind: 'change-committed', detail: `version ${outcome.fleet.configuration.version}`});
		} else {
			options.events.emit({kind: 'change-refused', detail: `code ${outcome.code}`});
		}

		if (outcome.kind === 'refused' && outcome.code === resultCodes.storeAnswerLost) {
			void settleLostCommit();
		} else {
			addPendingCommits(-1);
		}

		return outcome;
	};

	const forwardChange = async (request: ChangeRequest) => {
		for (const id of options.readState().roster.acceptors) {
			try {
				const answer = await options.findPeer(id)?.passChange(request); // eslint-disable-line no-await-in-loop -- one acceptor at a time
				if (answer !== undefined) {
					return answer;
				}
			} catch {
				log.debug(`hosts: Acceptor ${id} did not answer.`);
			}
		}

		return {code: resultCodes.storeUnavailable, reason: 'no host through which changes enter can be reached'};
	};

	const change = async (request: ChangeRequest, requested: Change) => {
		const {acceptors} = options.readState().roster;
		if (acceptors.length > 0 && !acceptors.includes(options.self)) {
			return forwardChange(request);
		}

		const outcome = await commit(request, requested);
		return outcome.kind === 'refused'
			? {code: outcome.code, reason: outcome.reason, version: outcome.version}
			: {code: resultCodes.done, version: outcome.fleet.configuration.version};
	};

	return {
		change,
		readVersion,
		async handleForwardedChange(request) {
			const decoded = decodeChange(request);
			return decoded.kind === 'invalid'
				? {code: resultCodes.changeInvalid, reason: decoded.reason}
				: change(request, decoded.change);
		},
		async changeRoster(roster) {
			const {head} = options.readState().roster;
			const requestedAt = now();
			addPendingCommits(1);
			try {
				const fleet = await commitRoster(platform, {...roster, head});
				addPendingCommits(-1);
				if (fleet !== undefined) {
					dispatch({kind: 'configurationRead', fleet, confirmedAt: requestedAt});
					log.info(`platform: The roster has ${roster.homes.length} live hosts.`);
				}
			} catch {
				log.debug('platform: Committing the roster failed; the outcome is read from the table later.');
				void settleLostCommit();
			}
		},
	};
}
