import type {ProcessEvent} from './process-event.ts';

/** Formats an event as a line of JSON. The time is written as a string, since JSON has no big integers. */
export function formatEvent(event: ProcessEvent): string {
	return JSON.stringify({...event, time: event.time.toString()});
}
