import type {ProcessEvent} from './process-event.ts';

/** Formats an event as a line of JSON; the time becomes a string. */
export function formatEvent(event: ProcessEvent): string {
	return JSON.stringify({...event, time: event.time.toString()});
}
