import {build} from 'hdr-histogram-js';
import {checkHistory} from './check-history.ts';
import {findWrongfulRefusals} from './find-wrongful-refusals.ts';
import type {LoadClass} from './load-class.ts';
import type {LoadHistory} from './load-history.ts';
import type {LoadPlan} from './load-plan.ts';
import type {LoadSummary} from './load-summary.ts';
import type {RequestOutcome} from './request-outcome.ts';

/** Resolution of the latency histograms, which store integers: tenths of a millisecond. */
const unitsPerMillisecond = 10;

const millisecondsPerSecond = 1000;
const medianPercentile = 50;
const tailPercentile = 99;

/** Summarizes a load: shares, write gap, latencies, result codes and violations. */
export function summarizeLoad(plan: LoadPlan, history: LoadHistory): LoadSummary {
	const {outcomes} = history;
	const wrongful = findWrongfulRefusals(plan, outcomes);
	const shares = findShares(plan, outcomes);
	const [worst] = shares.toSorted((a, b) => a.share - b.share);
	return {
		requests: outcomes.length,
		done: outcomes.filter(({kind}) => kind === 'done').length,
		replicaShare: findReplicaShare(plan, outcomes),
		writeGapMs: findWriteGap(plan, outcomes),
		worstWorkspace: worst?.share ?? 1,
		worstWorkspaceName: worst?.name ?? '',
		workspaces: Object.fromEntries(shares.map(({name, share}) => [name, share])),
		wrongfulRefusals: outcomes.length === 0 ? 0 : wrongful.length / outcomes.length,
		latency: {
			write: summarizeLatency('write', outcomes),
			latest: summarizeLatency('latest', outcomes),
			session: summarizeLatency('session', outcomes),
			within: summarizeLatency('within', outcomes),
		},
		codes: countCodes(outcomes),
		violations: checkHistory(plan, history),
	};
}

function findReplicaShare(plan: LoadPlan, outcomes: readonly RequestOutcome[]): number {
	const primaries = new Map<string, string>();
	const databases = new Map(plan.workspaces.map(({name, database}) => [name, database]));
	let reads = 0;
	let fromReplicas = 0;
	for (const {request, kind, instance} of outcomes.filter(outcome => outcome.kind === 'done').toSorted((a, b) => a.answeredAt - b.answeredAt)) {
		const database = databases.get(request.workspace) ?? '';
		if (request.class === 'write') {
			primaries.set(database, instance);
		} else if (kind === 'done' && primaries.has(database)) {
			reads++;
			fromReplicas += primaries.get(database) === instance ? 0 : 1;
		}
	}

	return reads === 0 ? 0 : fromReplicas / reads;
}

/** Finds the longest time, over all databases, for which writes were pending and none was acknowledged. */
function findWriteGap(plan: LoadPlan, outcomes: readonly RequestOutcome[]): number {
	const databases = new Set(plan.workspaces.map(({database}) => database));
	const gaps = [...databases].map(database => {
		const names = new Set(plan.workspaces.filter(workspace => workspace.database === database).map(({name}) => name));
		return findLongestWait(outcomes.filter(({request}) => names.has(request.workspace) && request.class === 'write'));
	});
	return Math.max(0, ...gaps);
}

function findLongestWait(writes: readonly RequestOutcome[]): number {
	const acknowledged = writes.filter(({kind}) => kind === 'done').map(({answeredAt}) => answeredAt).toSorted((a, b) => a - b);
	const waits = acknowledged.map((time, index) => {
		const last = acknowledged[index - 1] ?? 0;
		const arrivals = writes.filter(({answeredAt}) => answeredAt > last).map(({request}) => request.scheduledAt);
		return time - Math.max(last, Math.min(...arrivals));
	});
	return Math.max(0, ...waits);
}

/** Finds the cost of the requests done for each workspace, relative to the cost that it offered within its rate and burst. */
function findShares(plan: LoadPlan, outcomes: readonly RequestOutcome[]) {
	return plan.workspaces.map(({name, rate, burst}) => {
		const own = outcomes.filter(({request}) => request.workspace === name);
		const offered = sumCost(plan, own);
		const served = sumCost(plan, own.filter(({kind}) => kind === 'done'));
		const entitled = Math.min(offered, burst + (rate * plan.duration / millisecondsPerSecond));
		return {name, share: entitled === 0 ? 1 : Math.min(1, served / entitled)};
	});
}

function sumCost(plan: LoadPlan, outcomes: readonly RequestOutcome[]): number {
	let sum = 0;
	for (const {request} of outcomes) {
		sum += plan.costs[request.class];
	}

	return sum;
}

function summarizeLatency(name: LoadClass, outcomes: readonly RequestOutcome[]) {
	const histogram = build();
	for (const {request, kind, answeredAt} of outcomes) {
		if (request.class === name && kind === 'done') {
			histogram.recordValue(Math.max(0, Math.round((answeredAt - request.scheduledAt) * unitsPerMillisecond)));
		}
	}

	return {
		p50: histogram.getValueAtPercentile(medianPercentile) / unitsPerMillisecond,
		p99: histogram.getValueAtPercentile(tailPercentile) / unitsPerMillisecond,
		max: histogram.maxValue / unitsPerMillisecond,
	};
}

function countCodes(outcomes: readonly RequestOutcome[]): Readonly<Record<string, number>> {
	const codes: Record<string, number> = {};
	for (const {code} of outcomes) {
		codes[code] = (codes[code] ?? 0) + 1;
	}

	return codes;
}
