import process from 'node:process';
import type {EventLog} from './event-log.ts';
import type {HybridClock} from './hybrid-clock.ts';
import type {ProcessEvent} from './process-event.ts';

/** Events kept for operators to read. */
const eventsKept = 20_000;

/**
 * Creates the event log of a process.
 *
 * @param process Name of the process.
 * @param options The clock, and what to do with each event besides keeping it.
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
			if (events.length > 2 * eventsKept) {
				events = events.slice(-eventsKept);
			}

			options.onEvent?.(stamped);
		},
		list: () => events.slice(-eventsKept),
	};
}
