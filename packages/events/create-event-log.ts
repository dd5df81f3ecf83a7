import process from 'node:process';
import type {EventLog} from './event-log.ts';
import type {HybridClock} from './hybrid-clock.ts';
import type {ProcessEvent} from './process-event.ts';

/** Number of events kept for operators to read. */
const maxEvents = 20_000;

/**
 * Creates the event log of a process.
 *
 * @param process Name of the process.
 * @param options The clock, and a callback for each event.
 */
export function createEventLog(
	process: string,
	options: {readonly clock: HybridClock; readonly onEvent?: (event: ProcessEvent) => void},
): EventLog {
	let events: ProcessEvent[] = [];
	return {
		emit(event) {
			const stamped = {time: options.clock.tick(), process, ...event};
			events.push(stamped);
			if (events.length > 2 * maxEvents) {
				events = events.slice(-maxEvents);
			}

			options.onEvent?.(stamped);
		},
		list: () => events.slice(-maxEvents),
	};
}
