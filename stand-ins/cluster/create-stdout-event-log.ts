import {
	createEventLog, createHybridClock, formatEvent, type EventLog,
} from '@sapphirefall/events';

/** Creates an event log that prints each event to standard output, one per line. */
export function createStdoutEventLog(process: string): EventLog {
	return createEventLog(process, {
		clock: createHybridClock(() => Date.now()),
		onEvent(event) {
			console.log(formatEvent(event));
		},
	});
}
