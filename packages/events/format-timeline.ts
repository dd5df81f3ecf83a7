import {ticksPerMs} from './ticks-per-ms.ts';
import type {ProcessEvent} from './process-event.ts';

/** Formats a timeline as text, one event per line: time, process, kind, request, workspace, database and detail. */
export function formatTimeline(events: readonly ProcessEvent[]): string {
	return events.map(event => formatLine(event)).join('\n');
}

function formatLine(event: ProcessEvent): string {
	const time = new Date(Number(event.time / ticksPerMs)).toISOString();
	const fields = [event.request, event.workspace, event.database, event.detail].filter(field => field !== undefined && field !== '');
	return [time, event.process.padEnd(12), event.kind.padEnd(22), ...fields].join('  ');
}
