import type {LogPoint} from '@sapphirefall/decisions';
import type {Statement} from './statement.ts';

/** A request to an instance. An instance whose log does not hold the position `after` does not run the request. */
export type InstanceRequest =
	/** A read, write or commit of a caller, forwarded with its id and text unchanged. */
	| {readonly kind: 'forward'; readonly id: string; readonly text: string; readonly after?: LogPoint | undefined}
	/** Runs a caller's prepared statement; `name` is its name on the connection. */
	| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly parameters: string; readonly after?: LogPoint | undefined}
	| {readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after?: LogPoint | undefined}
	| {readonly kind: 'rollback'}
	| Extract<Statement, {readonly kind: 'set' | 'prepare'}>
	/**
	 * Clears the session variables and prepared statements of the connection. Answered with the log position, without using
	 * an execution slot.
	 */
	| {readonly kind: 'reset'}
	| {readonly kind: 'status'}
	/** Demotes a primary of an older term to replica. */
	| {readonly kind: 'stepDown'; readonly term: number};
