import process from 'node:process';
import type {ProcessEvent} from './process-event.ts';

/** Log of the events of one process. */
export type EventLog = {
	/** Stamps an event with the time and the process, and adds it to the log. */
	readonly emit: (event: Omit<ProcessEvent, 'time' | 'process'>) => void;
	/** Returns the most recent events, oldest first. */
	readonly list: () => readonly ProcessEvent[];
};
