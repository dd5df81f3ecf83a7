import process from 'node:process';
import type {ProcessEvent} from './process-event.ts';

/** The events of one process. */
export type EventLog = {
	readonly emit: (event: Omit<ProcessEvent, 'time' | 'process'>) => void;
	/** The newest events, oldest first. */
	readonly list: () => readonly ProcessEvent[];
};
