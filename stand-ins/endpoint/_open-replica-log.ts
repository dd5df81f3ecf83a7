import {create, fromJsonString, toJsonString} from '@bufbuild/protobuf';
import type {LogPoint} from '@sapphirefall/decisions';
import {
	decodePoint, decodeStatement, LogEntrySchema, type LogEntry, type Statement,
} from '@sapphirefall/wire';
import type {Engine} from './_engine.ts';
import type {Journal} from './_journal.ts';
import type {ReplicaLog} from './_replica-log.ts';

/** Largest number of entries that a replica receives in one answer. */
const maxBatchEntries = 500;

/** Opens a log from its journal and replays all entries into the database. */
export function openReplicaLog(engine: Engine, journal: Journal): ReplicaLog {
	let entries: LogEntry[] = [];

	const applyEntry = (entry: LogEntry) => {
		for (const statement of entry.statements) {
			engine.run(decodeStatement(statement));
		}
	};

	const truncateEntries = (length: number) => {
		entries = entries.slice(0, length);
		engine.reset();
		for (const entry of entries) {
			applyEntry(entry);
		}
	};

	const appendEntry = (entry: LogEntry) => {
		entries.push(entry);
		journal.write({kind: 'entry', entry: toJsonString(LogEntrySchema, entry)});
	};

	for (const record of journal.read()) {
		if (record.kind === 'entry') {
			const entry = fromJsonString(LogEntrySchema, record.entry);
			entries.push(entry);
			applyEntry(entry);
		} else if (record.kind === 'truncate') {
			truncateEntries(record.length);
		}
	}

	return {
		lastPoint: () => decodePoint(entries.at(-1)?.at),
		append(term, statements) {
			appendEntry(create(LogEntrySchema, {at: {term, position: BigInt(entries.length + 1)}, statements: [...statements]}));
		},
		apply(added) {
			for (const entry of added) {
				applyEntry(entry);
				appendEntry(entry);
			}
		},
		readEntry: position => entries[Number(position) - 1],
		listAfter: position => entries.slice(Number(position), Number(position) + maxBatchEntries),
		truncate(position) {
			if (entries.length > Number(position)) {
				journal.write({kind: 'truncate', length: Number(position)});
				truncateEntries(Number(position));
			}
		},
	};
}
