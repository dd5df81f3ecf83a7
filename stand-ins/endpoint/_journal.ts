import {appendFileSync, existsSync, readFileSync} from 'node:fs';

/** One durable record of an instance; a log entry is the JSON form of its message. */
export type JournalRecord =
	| {readonly kind: 'term'; readonly term: number; readonly owner: string; readonly role: string; readonly primary: string}
	| {readonly kind: 'entry'; readonly entry: string}
	| {readonly kind: 'truncate'; readonly length: number};

/** The durable records of an instance. */
export type Journal = {
	readonly read: () => readonly JournalRecord[];
	readonly write: (record: JournalRecord) => void;
};

/** Opens the journal in a file, or one that is lost with the process when there is no file. */
export function openJournal(file: string | undefined): Journal {
	return {
		read() {
			if (file === undefined || !existsSync(file)) {
				return [];
			}

			const lines = readFileSync(file, 'utf8').split('\n').filter(line => line !== '');
			return lines.map(line => JSON.parse(line) as JournalRecord);
		},
		write(record) {
			if (file !== undefined) {
				appendFileSync(file, `${JSON.stringify(record)}\n`);
			}
		},
	};
}
