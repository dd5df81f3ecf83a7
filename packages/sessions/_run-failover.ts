import {createContestedStore} from './_create-contested-store.ts';
import {createStatusInstance} from './_create-status-instance.ts';
import type {FailoverCase} from './_failover-case.ts';
import {failoverTimes} from './_failover-times.ts';
import type {FleetPeer} from './fleet-peer.ts';
import {replacePrimary} from './replace-primary.ts';
import type {SessionGroup} from './session-group.ts';

/** Plays a failover of the primary `i-old`; returns the row that is left, and which promotions were ordered when. */
export async function runFailover({
	statuses, statusesAfter, reason = 'silent', evacuated = [], isLosing = false, mayHaveMissedPromotion = false,
	eraSince = Number.NEGATIVE_INFINITY, recentHosts = [], answers = [], duringOrder, statusesLate = statusesAfter, statusesFirst = statuses, term, lateAfterMs = failoverTimes.lateEffectMs, era = 1, known, isSynchronous = false, gone, isLockUsed = false, born = {}, entries = {first: 0, later: 0}, copies, ownMark, ownCommit, hostAnswers = {}, hostsUnchangedMs = 60_000,
}: FailoverCase) {
	const ordered: string[] = [];
	let suspended = 0;
	const startedAt = performance.now();
	const startedAtWall = Date.now();
	let orderedAt = Number.POSITIVE_INFINITY;
	let firstOrderedAt = Number.POSITIVE_INFINITY;
	const orderTimes: number[] = [];
	const find = (id: string) => {
		const late = performance.now() - firstOrderedAt > lateAfterMs ? statusesLate : statusesAfter;
		const early = performance.now() - startedAt < failoverTimes.firstMs ? statusesFirst : statuses;
		return (ordered.length > 0 ? late : early)[id];
	};

	const countEntries = () => entries.first + (performance.now() - startedAt < failoverTimes.firstMs ? 0 : entries.later);
	const instances = Object.keys(statuses).map(id => createStatusInstance(id, () => find(id), () => ({...born[id] !== undefined && {born: born[id]}, seq: countEntries()})));
	const {store, find: findRow, takeOver, takeLock} = createContestedStore({
		epoch: 1, state: 'serving', primary: 'i-old', successor: '', holder: 'a1', token: 0, ...term !== undefined && {term}, ...copies && {copies},
	}, {isLosing, era, isLockUsed});
	const group: Partial<SessionGroup> = {
		name: 'pondbook',
		fence: () => undefined,
		known: () => known,
		listUnlisted: () => [],
		findLogMark: () => ownMark && {epoch: 1, position: ownMark.position, requestedAt: {steady: startedAt - ownMark.age, wall: startedAtWall - ownMark.age}},
		findCommitMark: () => ownCommit && {epoch: 1, after: ownCommit},
		listInstances: () => instances.filter(instance => instance.listed().id !== gone || performance.now() - startedAt < failoverTimes.goneAfterMs),
		findInstance: id => instances.find(instance => instance.listed().id === id),
	};
	const quiet = () => undefined;
	await replacePrimary({
		group: group as SessionGroup,
		reason,
		self: 'a1',
		incarnation: 1,
		epoch: 1,
		fencedAt: undefined,
		mayHaveMissedPromotion,
		isEvacuated: zone => evacuated.includes(zone),
		isSynchronous: () => isSynchronous,
		isListFresh: () => true,
		isFenceDue: isLockUsed,
		isGivenUp: () => isLockUsed && performance.now() - startedAt > failoverTimes.goneAfterMs,
		isHostSilent: async () => false,
		findEra: () => ({era, since: eraSince}),
		store,
		async orderPromotion({instance}) {
			ordered.push(instance);
			orderedAt = performance.now();
			orderTimes.push(orderedAt);
			firstOrderedAt = Math.min(firstOrderedAt, orderedAt);
			if (duringOrder === 'suspension') {
				suspended = failoverTimes.suspendedMs;
			} else if (duringOrder !== undefined) {
				await (duringOrder === 'lock' ? takeLock() : takeOver());
			}

			return answers[ordered.length - 1] ?? 'accepted';
		},
		findPeer: name => ({fenceGroup: async () => hostAnswers[name]}) as unknown as FleetPeer,
		listRecentHosts: () => recentHosts,
		findHostsUnchangedSince: () => startedAt - hostsUnchangedMs,
		workspace: 'upper',
		now: () => ({steady: performance.now(), wall: Date.now() + suspended}),
		log: {debug: quiet, info: quiet, warn: quiet},
	});
	return {
		row: findRow(), ordered, orderedAfter: orderedAt - startedAt, storedAfterOrder: performance.now() - orderedAt, orderTimes,
	};
}
