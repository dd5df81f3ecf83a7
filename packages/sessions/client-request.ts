import type {Statement} from './statement.ts';

/** A message that a caller sends to its session. */
export type ClientRequest =
	| {readonly kind: 'start'; readonly database: string; readonly key: string}
	/** `text` is the statement as the caller wrote it, which is forwarded unchanged. */
	| {readonly kind: 'statement'; readonly id: string; readonly text: string; readonly statement: Statement}
	/** A statement that cannot be parsed; the session continues. */
	| {readonly kind: 'malformed'; readonly reason: string}
	/** A framing error; the session ends, because the start of the next message is unknown. */
	| {readonly kind: 'broken'; readonly reason: string}
	| {readonly kind: 'terminate'};
