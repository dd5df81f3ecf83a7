import type {JournalRecord} from './_journal-record.ts';

/** The durable records of an instance. */
export type Journal = {
	readonly read: () => readonly JournalRecord[];
	readonly write: (record: JournalRecord) => void;
};
