import type {Statement} from './statement.ts';

/** A message of a caller. */
export type ClientRequest =
	| {readonly kind: 'start'; readonly database: string; readonly key: string}
	/** The text is what the caller wrote, to be passed on unchanged. */
	| {readonly kind: 'statement'; readonly id: string; readonly text: string; readonly statement: Statement}
	/** A statement that cannot be read; the session goes on. */
	| {readonly kind: 'malformed'; readonly reason: string}
	/** A message that breaks the framing; the session ends. */
	| {readonly kind: 'broken'; readonly reason: string}
	| {readonly kind: 'terminate'};
