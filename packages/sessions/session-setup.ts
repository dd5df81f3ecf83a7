import type {Statement} from './statement.ts';

/** Session variables and prepared statements by name; they apply to every connection that runs statements of the session. */
export type SessionSetup = {
	readonly variables: Map<string, string>;
	readonly prepared: Map<string, Extract<Statement, {readonly kind: 'prepare'}>['prepared']>;
};
