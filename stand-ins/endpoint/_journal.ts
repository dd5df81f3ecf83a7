import type {JournalRecord} from './_journal-record.ts';

/** Durable storage for the records of an instance. */
export type Journal = {
	readonly read: () => readonly JournalRecord[];
	readonly write: (record: JournalRecord) => void;
};
