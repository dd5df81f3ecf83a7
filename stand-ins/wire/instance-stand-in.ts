import type {LogEntry} from './log-entry.ts';

/** An instance of a group, which speaks the wire protocol. */
export type InstanceStandIn = {
	readonly id: string;
	readonly port: number;
	readonly role: () => 'primary' | 'replica';
	readonly term: () => number;
	readonly log: () => readonly LogEntry[];
	/** Texts of the statements that ran, by the id that they carried. */
	readonly ran: () => ReadonlyArray<{readonly id: string; readonly text: string}>;
	/** Who connected. */
	readonly callers: () => readonly string[];
	readonly receive: (entry: LogEntry) => void;
	readonly promote: (term: number) => void;
	readonly follow: (term: number, log: readonly LogEntry[]) => void;
	/** Answers nothing any more, on any connection. */
	readonly goDark: () => void;
	/** Runs the next statements of clients without answering them. */
	readonly loseAnswers: (count: number) => void;
	readonly close: () => void;
};
