import type {LogEntry} from './log-entry.ts';

/** An instance of a group, which speaks the wire protocol. */
export type InstanceStandIn = {
	readonly id: string;
	readonly port: number;
	readonly role: () => 'primary' | 'replica';
	readonly term: () => number;
	readonly log: () => readonly LogEntry[];
	/** Texts of the statements that ran, by the id that they carried. */
	readonly executedStatements: () => ReadonlyArray<{readonly id: string; readonly text: string}>;
	/** Who connected. */
	readonly sessionWorkspaces: () => readonly string[];
	readonly appendEntry: (entry: LogEntry) => void;
	readonly promote: (term: number) => void;
	readonly follow: (term: number, log: readonly LogEntry[]) => void;
	/** Answers nothing any more, on any connection. */
	readonly stopAnswering: () => void;
	/** Runs the next statements of clients without answering them. */
	readonly loseAnswers: (count: number) => void;
	readonly close: () => void;
};
