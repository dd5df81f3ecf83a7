import type {LogPoint} from '@sapphirefall/decisions';
import type {Failover} from '../failover.ts';
import type {FenceAnswer} from '../fence-answer.ts';
import type {Fence} from '../fence.ts';
import {findElapsed} from '../find-elapsed.ts';
import {findAcknowledgedPoint} from './find-acknowledged-point.ts';

type Report = Parameters<typeof findAcknowledgedPoint>[0]['reports'][number];

/**
 * Asks all hosts how far the log of a fenced primary had grown, which none of them uses any more; see
 * `findAcknowledgedPoint`.
 */
export async function readAcknowledgedPoint({row, hosts}: Pick<Fence, 'row' | 'hosts'>, {
	group, self, findPeer, listRecentHosts, findHostsUnchangedSince, now,
}: Pick<Failover, 'group' | 'self' | 'findPeer' | 'listRecentHosts' | 'findHostsUnchangedSince' | 'now'>): Promise<LogPoint | undefined> {
	const names = new Set([...listRecentHosts(), ...hosts].map(({name}) => name).filter(name => name !== self));
	const others = await Promise.all([...names].map(async name => {
		const askedAt = now().steady;
		const answer = await findPeer(name)?.fenceGroup(group.name, row.epoch);
		return createReport(answer, {askedAt, answeredAt: now().steady});
	}));
	const mark = group.findLogMark();
	const at = now();
	const own: Report = {startedAt: undefined, mark: mark && {...mark, requestedAt: at.steady - findElapsed(mark.requestedAt, at)}};
	return findAcknowledgedPoint({reports: [own, ...others], hostsUnchangedSince: findHostsUnchangedSince()});
}

function createReport(answer: FenceAnswer | undefined, {askedAt, answeredAt}: {readonly askedAt: number; readonly answeredAt: number}): Report {
	if (answer?.isFenced !== true || answer.uptimeMs === undefined) {
		return undefined;
	}

	const {uptimeMs, newest} = answer;
	return {startedAt: answeredAt - uptimeMs, mark: newest && {epoch: newest.epoch, position: newest.position, requestedAt: askedAt - newest.age}};
}
