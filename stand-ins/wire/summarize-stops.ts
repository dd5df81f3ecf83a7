import {isWhole} from './is-whole.ts';
import {listExecutedIds} from './list-executed-ids.ts';
import type {SoakMessage} from './soak-message.ts';
import type {SoakRecord} from './soak-record.ts';

/** Summarizes the statements that ran at hosts after their SIGTERM, by kind and answer, and the stops, as lines for people. */
export function summarizeStops({sessions, processes, groups}: SoakRecord): readonly string[] {
	const executedIds = listExecutedIds({groups});
	const stops = new Map(processes.map(process => [process.host, process.signals().find(({signal}) => signal === 'SIGTERM')?.at] as const));
	const counts = new Map<string, Map<string, number>>();
	for (const session of sessions) {
		const stoppedAt = stops.get(session.host) ?? Number.POSITIVE_INFINITY;
		let state = session.startState;
		for (const message of session.messages) {
			if (message.endedAt > stoppedAt) {
				const kind = `${message.text.split(' ')[0]}${state === 'T' ? ' in a transaction' : ''}`;
				const results = counts.get(kind) ?? new Map<string, number>();
				const result = describeResult(message, executedIds);
				counts.set(kind, results.set(result, (results.get(result) ?? 0) + 1));
			}

			({state} = message);
		}
	}

	const stopTimes = processes.flatMap(process => {
		const stoppedAt = stops.get(process.host);
		const endedAt = process.end()?.at;
		return stoppedAt === undefined || endedAt === undefined ? [] : [{tookMs: Math.round(endedAt - stoppedAt), isSlowed: process.isSlowed()}];
	});
	const findLongest = (isSlowed: boolean) => Math.max(0, ...stopTimes.filter(time => time.isSlowed === isSlowed).map(({tookMs}) => tookMs));
	return [
		...sortEntries(counts).map(([kind, results]) => `${kind}: ${sortEntries(results).map(([result, count]) => `${result} ${count}`).join(', ')}`),
		`sessions ${sessions.length}, statements ${sessions.flatMap(({messages}) => messages).length}`,
		`stops ${stopTimes.length}, longest ${findLongest(false)} ms, longest of a slowed process ${findLongest(true)} ms`,
	];
}

function describeResult(message: SoakMessage, executedIds: ReadonlySet<string>): string {
	if (!isWhole(message)) {
		return executedIds.has(message.id) ? 'cut' : 'closed unread';
	}

	return message.result.startsWith('COMPLETE') ? 'done' : (message.result.split(' ')[1] ?? '');
}

function sortEntries<Value>(entries: ReadonlyMap<string, Value>): ReadonlyArray<readonly [string, Value]> {
	return [...entries].sort(([left], [right]) => left.localeCompare(right));
}
