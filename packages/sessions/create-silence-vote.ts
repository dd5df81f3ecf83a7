import {rankHosts} from '@sapphirefall/decisions';
import {collectVotes} from './collect-votes.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {HostRow} from './host-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {isAnswering} from './is-answering.ts';
import type {SessionLog} from './session-log.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly listHosts: () => ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	readonly findInstance: (group: string, id: string) => InstanceRuntime | undefined;
	readonly findPeer: (host: string) => Pick<FleetPeer, 'confirmSilence'> | undefined;
	/** Workspace whose connections are used to query instances. */
	readonly findWorkspace: () => string | undefined;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	readonly log: SessionLog;
};

/** The vote of hosts on whether a primary is silent. */
type SilenceVote = {
	/** Checks whether an instance is silent for this host; sends a request when the recent ones do not show it. */
	readonly isSilent: (group: string, id: string) => Promise<boolean>;
	/** Checks by a vote of this host and others whether a primary is silent; false as well for a while after a vote that did not find it so. */
	readonly isConfirmed: (group: string, primary: string) => Promise<boolean>;
};

/** Milliseconds within which an instance must answer when this host checks whether it is silent. */
const confirmTimeoutMs = 300;

/** Milliseconds until the next vote on a primary after one that did not find it silent. */
const voteIntervalMs = 500;

/** Maximum number of other hosts that vote on whether a primary is silent. */
const maxVoters = 12;

/** Creates the vote on whether primaries are silent; see `SilenceVote`. */
export function createSilenceVote({
	self, listHosts, findInstance, findPeer, findWorkspace, now, log,
}: Options): SilenceVote {
	/** Until when this host does not start another vote on a group's primary, in milliseconds of the steady clock. */
	const nextVoteAt = new Map<string, number>();

	const isSilent: SilenceVote['isSilent'] = async (group, id) => {
		const instance = findInstance(group, id);
		const workspace = findWorkspace();
		if (instance === undefined || workspace === undefined) {
			return false;
		}

		const {lastAnswerAt, unansweredSince} = instance.health();
		const at = now();
		if (unansweredSince !== undefined && at - unansweredSince > confirmTimeoutMs) {
			return true;
		}

		return at - lastAnswerAt >= confirmTimeoutMs && !await isAnswering(instance, {workspace, timeout: confirmTimeoutMs});
	};

	return {
		isSilent,
		async isConfirmed(group, primary) {
			if ((nextVoteAt.get(group) ?? 0) > now()) {
				return false;
			}

			const hosts = listHosts();
			const zones = new Map(hosts.map(({name, zone}) => [name, zone]));
			const others = rankHosts(`vote/${group}`, hosts.map(({name}) => name)).filter(name => name !== self).slice(0, maxVoters);
			const {isSilent: isFoundSilent, votes} = await collectVotes([self, ...others].map(async name => {
				const vote = name === self ? await isSilent(group, primary) : await findPeer(name)?.confirmSilence(group, primary);
				return vote === undefined ? undefined : {zone: zones.get(name) ?? '', isSilent: vote};
			}));
			log.info({
				group, primary, asked: others.length + 1, answered: votes.length, silent: votes.filter(vote => vote.isSilent).length, isSilent: isFoundSilent,
			}, 'failover: The hosts voted on whether the primary is silent.');
			if (!isFoundSilent) {
				nextVoteAt.set(group, now() + voteIntervalMs);
			}

			return isFoundSilent;
		},
	};
}
