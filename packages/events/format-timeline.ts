import {ticksPerMs} from './ticks-per-ms.ts';
import type {ProcessEvent} from './process-event.ts';

/** Formats a time line as text, one event a line: time, process, kind, and what the event names. */
export function formatTimeline(events: readonly ProcessEvent[]): string {
	return events.map(event => formatLine(event)).join('\n');
}

function formatLine(event: ProcessEvent): string {
	const time = new Date(Number(event.time / ticksPerMs)).toISOString();
	const names = [event.request, event.workspace, event.database, event.detail].filter(name => name !== undefined && name !== '');
	return [time, event.process.padEnd(12), event.kind.padEnd(22), ...names].join('  ');
}
