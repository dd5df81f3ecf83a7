import process from 'node:process';
import type {EventFilter} from './event-filter.ts';
import type {ProcessEvent} from './process-event.ts';

/**
 * Merges the events of all processes into one order: by hybrid logical time, then by process.
 *
 * An event that caused an event in another process precedes it.
 */
export function mergeTimeline(events: readonly ProcessEvent[], filter: EventFilter): readonly ProcessEvent[] {
	return events
		.filter(event => matchesFilter(event, filter))
		.toSorted((a, b) => (a.time === b.time ? compareText(a.process, b.process) : Number(a.time - b.time)));
}

function matchesFilter(event: ProcessEvent, filter: EventFilter): boolean {
	return (filter.request === undefined || event.request === filter.request)
		&& (filter.workspace === undefined || event.workspace === filter.workspace)
		&& (filter.database === undefined || event.database === filter.database)
		&& (filter.host === undefined || event.process === filter.host);
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : 1;
}
