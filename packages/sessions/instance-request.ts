import type {LogPoint} from '@sapphirefall/decisions';
import type {Statement} from './statement.ts';

/** A statement for an instance. `after` is a position that the instance's log must hold, or it does not run. */
export type InstanceRequest =
	/** A caller's read, write or commit, with its id and text unchanged. */
	| {readonly kind: 'forward'; readonly id: string; readonly text: string; readonly after?: LogPoint | undefined}
	/** A caller's prepared statement, under the name that it has on the connection. */
	| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly parameters: string; readonly after?: LogPoint | undefined}
	| {readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after?: LogPoint | undefined}
	| {readonly kind: 'rollback'}
	| Extract<Statement, {readonly kind: 'set' | 'prepare'}>
	/** Forgets the values and prepared names of the connection; answers with the position without taking a slot. */
	| {readonly kind: 'reset'}
	| {readonly kind: 'status'}
	/** Makes a primary of an older term a replica. */
	| {readonly kind: 'stepDown'; readonly term: number};
