import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type {Journal} from './_journal.ts';
import type {JournalRecord} from './_journal-record.ts';

/** Opens the journal in a file. Without a file, the journal discards all records, so that nothing survives a restart. */
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
