import {
	createEventLog, createHybridClock, formatEvent, type EventLog,
} from '@sapphirefall/events';

/** Creates the event log of a stand-in; events go to the output, a line each. */
export function createStdoutEventLog(process: string): EventLog {
	return createEventLog(process, {
		clock: createHybridClock(() => Date.now()),
		onEvent(event) {
			console.log(formatEvent(event));
		},
	});
}
